#ifndef PERIDOTWHEEL_MEMBERSHIP_MEMBERSHIP_TABLE_H
#define PERIDOTWHEEL_MEMBERSHIP_MEMBERSHIP_TABLE_H

#include "peridotwheel/membership/member.h"

#include <cstddef>

namespace peridotwheel {

/// The latest news about each instance, merged by one total order.
///
/// Of two records about an instance the one with the higher incarnation holds; at equal
/// incarnations the graver state, then the higher start id. Merging is therefore commutative,
/// idempotent and monotone, whatever the order and number of messages. Start ids are random and do
/// not order restarts by themselves: a process starts with an incarnation taken from the wall
/// clock, and one that meets a record of an earlier start of its own raises its incarnation above
/// it, so that a clock that is behind costs one message only.
///
/// Size: about 300 bytes for each member (three short strings, two addresses, map node), 1.6 MB for
/// 5,300; never more than `maxMembers` entries.
class membership_table
{
public:
    /// Three times the largest fleet; protects against floods of invented ids.
    static constexpr std::size_t maxMembers = 16384;

    explicit membership_table(std::size_t limit = maxMembers)
        : m_limit(limit)
    {
    }

    /// Whether \p a replaces \p b, both about the same instance.
    static bool supersedes(const member &a, const member &b);

    /// Takes \p update if it supersedes what is known. Returns whether the table has changed.
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
