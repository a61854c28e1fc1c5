#include "team_directory.h"

#include <xxhash.h>

namespace peridotwheel {

namespace {

/// Compares in a time that depends only on the lengths.
bool isEqualInConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    volatile unsigned char difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        const auto bits = static_cast<unsigned char>(a[i] ^ b[i]);
        difference = static_cast<unsigned char>(difference | bits);
    }
    return difference == 0;
}

} // namespace

team_directory::team_directory(const std::vector<team_ptr> &teams, digest_seed seed)
    : m_seed(seed)
{
    for (const auto &team : teams) {
        for (const auto &key : team->keys) {
            if (!find(key))
                m_byDigest.emplace(digest(key), entry{key, team});
        }
    }
}

team_directory::key_digest team_directory::digest(std::string_view key) const
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(key.data(), key.size(), m_seed.value());
    return {hash.high64, hash.low64};
}

team_ptr team_directory::find(std::string_view key) const
{
    const auto [first, last] = m_byDigest.equal_range(digest(key));
    for (auto it = first; it != last; ++it) {
        if (isEqualInConstantTime(it->second.key, key))
            return it->second.team;
    }
    return nullptr;
}

} // namespace peridotwheel
