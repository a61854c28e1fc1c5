#ifndef PERIDOTWHEEL_LIB_GATEWAY_TEAM_DIRECTORY_H
#define PERIDOTWHEEL_LIB_GATEWAY_TEAM_DIRECTORY_H

#include "peridotwheel/gateway/route.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotwheel {

/// Secret of a process from which the digests of keys are computed.
using digest_seed = strong_id<struct digest_seed_tag, std::uint64_t>;

/// Finds the team that holds a key.
///
/// The duration of a lookup does not show how much of a key matches: the entry is found by a digest
/// with a secret seed, and the key is then compared in constant time.
class team_directory
{
public:
    /// If two teams hold the same key, the first one in the list gets it.
    team_directory(const std::vector<team_ptr> &teams, digest_seed seed);

    /// Returns null if no team holds \p key.
    team_ptr find(std::string_view key) const;

private:
    struct entry
    {
        std::string key;
        team_ptr team;
    };

    using key_digest = std::pair<std::uint64_t, std::uint64_t>;

    key_digest digest(std::string_view key) const;

    digest_seed m_seed;
    std::multimap<key_digest, entry> m_byDigest;
};

} // namespace peridotwheel

#endif
