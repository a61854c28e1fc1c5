#include "peridotwheel/membership/membership_table.h"
#include "peridotwheel/membership/server_directory.h"
#include "peridotwheel/support/random_source.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace peridotwheel;

namespace {

/// Few distinct values, so that updates about one member with equal incarnations are common.
rc::Gen<member> arbitraryMember()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
                                       rc::gen::inRange(0, 3), rc::gen::inRange(0, 4),
                                       rc::gen::inRange(0, 2)),
                        [](const auto &t) {
                            member m;
                            m.id = instance_id("entry-" + std::to_string(std::get<0>(t)));
                            m.start = start_id(std::get<1>(t));
                            m.incarnation = static_cast<std::uint64_t>(std::get<2>(t));
                            m.state = static_cast<member_state>(std::get<3>(t));
                            m.peers = {"127.0.1.1", static_cast<std::uint16_t>(std::get<4>(t) + 1)};
                            return m;
                        });
}

bool haveSameMembers(const membership_table &a, const membership_table &b)
{
    return std::equal(a.all().begin(), a.all().end(), b.all().begin(), b.all().end(),
                      [](const auto &x, const auto &y) {
                          return x.first == y.first &&
                                 !membership_table::supersedes(x.second, y.second) &&
                                 !membership_table::supersedes(y.second, x.second);
                      });
}

} // namespace

// Guards against views that differ for ever because messages came in another order or twice.
RC_GTEST_PROP(membershipTable, mergeIsCommutativeAndIdempotent, (std::uint64_t seed))
{
    const auto updates = *rc::gen::container<std::vector<member>>(arbitraryMember());
    auto shuffled = updates;
    shuffled.insert(shuffled.end(), updates.begin(), updates.end());
    std::shuffle(shuffled.begin(), shuffled.end(), random_source(seed).engine());
    membership_table a;
    membership_table b;
    for (const auto &u : updates)
        a.merge(u, time_point());
    for (const auto &u : shuffled)
        b.merge(u, time_point());
    RC_ASSERT(haveSameMembers(a, b));
}

// Guards against an update that is undone by an older one.
RC_GTEST_PROP(membershipTable, mergeIsMonotone, ())
{
    const auto updates = *rc::gen::container<std::vector<member>>(arbitraryMember());
    membership_table table;
    for (const auto &u : updates) {
        const member *before = table.find(u.id);
        const std::optional<member> copy = before ? std::make_optional(*before) : std::nullopt;
        const bool changed = table.merge(u, time_point());
        const member &now = *table.find(u.id);
        RC_ASSERT(!membership_table::supersedes(u, now));
        if (copy) {
            RC_ASSERT(!membership_table::supersedes(*copy, now));
            RC_ASSERT(changed == membership_table::supersedes(now, *copy));
        }
    }
}

// Guards against memory use that grows with invented ids.
TEST(membershipTable, holdsNoMoreThanItsLimit)
{
    membership_table table(2);
    member m;
    for (const char *id : {"a", "b", "c"}) {
        m.id = instance_id(id);
        table.merge(m, time_point());
    }
    EXPECT_EQ(table.all().size(), 2U);
}

// Guards against a server that disappears because one stale list lacks it.
TEST(serverDirectory, removesAServerOnlyAfterSeveralListsWithoutIt)
{
    server_directory directory;
    server_record s;
    s.id = server_id("cards-1");
    s.start = start_id(1);
    directory.applyList({s}, 3);
    directory.applyList({}, 3);
    directory.applyList({s}, 3);
    directory.applyList({}, 3);
    directory.applyList({}, 3);
    EXPECT_EQ(directory.servers().size(), 1U);
    directory.applyList({}, 3);
    EXPECT_TRUE(directory.servers().empty());
}

// Guards against the instance that first reads of a drain in the list using the server further: the
// drain was applied before the records were compared, so that the list seemed unchanged, and 2,201
// requests reached drained servers later than 3 s after the announcement.
TEST(serverDirectory, applyListReportsANewDrain)
{
    server_directory directory;
    server_record s;
    s.id = server_id("cards-1");
    s.start = start_id(1);
    EXPECT_TRUE(directory.applyList({s}, 3));
    EXPECT_FALSE(directory.applyList({s}, 3));
    s.leaving = true;
    EXPECT_TRUE(directory.applyList({s}, 3));
    EXPECT_TRUE(directory.servers().at(s.id).leaving);
    EXPECT_FALSE(directory.applyList({s}, 3));
}

// Guards against losing a leaving run that becomes known before the list holds the server, and
// against a leaving run that adds a server by itself.
TEST(serverDirectory, keepsLeavingRunsUntilTheListNamesTheServer)
{
    server_directory directory;
    directory.noteLeaving({server_id("cards-1"), start_id(1)}, 3);
    EXPECT_TRUE(directory.servers().empty());
    server_record s;
    s.id = server_id("cards-1");
    s.start = start_id(1);
    directory.applyList({s}, 3);
    EXPECT_TRUE(directory.servers().at(s.id).leaving);
    for (unsigned i = 0; i <= server_directory::listsUntilExpired + 3; ++i)
        directory.applyList({}, 3);
    EXPECT_EQ(directory.leavingCount(), 0U);
}
