#ifndef PERIDOTWHEEL_MEMBERSHIP_MEMBERSHIP_TABLE_H
#define PERIDOTWHEEL_MEMBERSHIP_MEMBERSHIP_TABLE_H

#include "peridotwheel/membership/member.h"

#include <cstddef>

namespace peridotwheel {

/// The latest record of each instance, merged by one total order.
///
/// Of two records of an instance, the one with the higher incarnation supersedes the other; at
/// equal incarnations the one with the more severe state, then the one with the higher start id.
/// Merging is therefore commutative, idempotent and monotone, whatever the order and number of
/// messages. Start ids are random and do not order restarts. Instead, a process takes its first
/// incarnation from the wall clock, and if it receives a record of an earlier start of its own, it
/// raises its incarnation above that record's. A clock that is behind therefore costs only one
/// message.
///
/// Size: about 300 bytes for each member (three short strings, two addresses, map node), 1.6 MB for
/// 5,300; never more than `maxMembers` entries.
class membership_table
{
public:
    /// Three times the largest fleet; bounds the memory taken by messages with invented ids.
    static constexpr std::size_t maxMembers = 16384;

    explicit membership_table(std::size_t limit = maxMembers)
        : m_limit(limit)
    {
    }

    /// Whether \p a replaces \p b, both about the same instance.
    static bool supersedes(const member &a, const member &b);

    /// Stores \p update if it supersedes the known record. Returns whether the table has changed.
    bool merge(const member &update, time_point now);
    void forget(const instance_id &id) { m_members.erase(id); }

    const member *find(const instance_id &id) const;
    const member_map &all() const { return m_members; }

private:
    std::size_t m_limit;
    member_map m_members;
};

} // namespace peridotwheel

#endif
