#include "peridotwheel/support/hash.h"

#include <xxhash.h>

namespace peridotwheel {

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return rendezvousWeight(stableHash(key), node);
}

std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::string_view node)
{
    return stableHash(node, keyHash);
}

} // namespace peridotwheel
