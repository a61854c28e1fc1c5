#ifndef PERIDOTWHEEL_SUPPORT_HASH_H
#define PERIDOTWHEEL_SUPPORT_HASH_H

#include <cstdint>
#include <string_view>

namespace peridotwheel {

/// 64-bit hash (XXH3), the same on every instance.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// Weight of \p node for \p key in rendezvous hashing: the highest weight owns the key, so that a
/// change of membership moves only the keys of the node that came or went.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);
/// The same for the key whose `stableHash` is \p keyHash.
std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::string_view node);

} // namespace peridotwheel

#endif
