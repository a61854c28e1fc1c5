#ifndef PERIDOTWHEEL_SUPPORT_IDS_H
#define PERIDOTWHEEL_SUPPORT_IDS_H

#include "peridotwheel/support/strong_id.h"

#include <cstdint>
#include <ostream>
#include <tuple>

namespace peridotwheel {

/// Name of an entry instance in the platform's instance list.
using instance_id = strong_id<struct instance_tag>;
/// Name of a backend server in the platform's list.
using server_id = strong_id<struct server_tag>;
using service_name = strong_id<struct service_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using region_id = strong_id<struct region_tag>;
using class_name = strong_id<struct class_tag>;
/// A caller's own id of one request; unique per caller and at most `maxRequestIdBytes` long.
using request_id = strong_id<struct request_tag>;
using shard_id = strong_id<struct shard_tag, std::uint32_t>;
/// Version of the index; a shard map belongs to exactly one.
using index_version = strong_id<struct index_version_tag, std::uint64_t>;
/// One attempt of one backend request; unique within an instance's lifetime.
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>;
/// Random number drawn when a process starts; distinguishes two runs of one instance or server.
using start_id = strong_id<struct start_tag, std::uint64_t>;
/// Rises each time the platform's store returns from an earlier copy of its objects.
using store_era = strong_id<struct store_era_tag, std::uint64_t>;

/// Position in the history of the platform's store: the version of an object, or of a list.
///
/// The revision rises with each change of any object. When the store returns from an earlier copy,
/// revisions go back and are given out again, so positions are ordered by the era first. A store
/// that never returns from a copy names no era, which counts as era 0.
class object_version
{
public:
    object_version() = default;
    explicit object_version(std::uint64_t revision)
        : m_revision(revision)
    {
    }
    object_version(store_era era, std::uint64_t revision)
        : m_era(era)
        , m_revision(revision)
    {
    }

    store_era era() const { return m_era; }
    /// The revision within the era; 0 stands for no position.
    std::uint64_t value() const { return m_revision; }

    friend bool operator==(const object_version &a, const object_version &b)
    {
        return a.m_era == b.m_era && a.m_revision == b.m_revision;
    }
    friend bool operator!=(const object_version &a, const object_version &b) { return !(a == b); }
    friend bool operator<(const object_version &a, const object_version &b)
    {
        return std::tie(a.m_era, a.m_revision) < std::tie(b.m_era, b.m_revision);
    }
    friend bool operator>(const object_version &a, const object_version &b) { return b < a; }
    friend bool operator<=(const object_version &a, const object_version &b) { return !(b < a); }
    friend bool operator>=(const object_version &a, const object_version &b) { return !(a < b); }
    friend std::ostream &operator<<(std::ostream &out, const object_version &v)
    {
        return out << v.m_era << '/' << v.m_revision;
    }

private:
    store_era m_era;
    std::uint64_t m_revision = 0;
};
/// Urgency of a class: 0 is the most urgent.
using class_rank = strong_id<struct rank_tag, std::uint32_t>;

} // namespace peridotwheel

#endif
