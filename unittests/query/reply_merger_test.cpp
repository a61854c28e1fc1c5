#include "peridotwheel/query/reply_merger.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

using namespace peridotwheel;

namespace {

std::vector<shard_id> ids(const std::set<std::uint32_t> &values)
{
    std::vector<shard_id> out;
    out.reserve(values.size());
    for (const auto v : values)
        out.emplace_back(v);
    return out;
}

std::string join(const std::vector<std::uint32_t> &values)
{
    std::string text;
    for (const auto v : values)
        text += (text.empty() ? "" : ",") + std::to_string(v);
    return text;
}

/// One reply of a generated history.
struct step
{
    std::uint64_t attempt;
    std::uint64_t version;
    std::vector<std::uint32_t> shards;
    std::size_t elements;
};

step anyStep()
{
    step s;
    s.attempt = *rc::gen::inRange<std::uint64_t>(1, 6);
    s.version = *rc::gen::weightedElement<std::uint64_t>({{4, 1}, {1, 2}});
    s.shards = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 6U));
    s.elements = s.shards.size() + *rc::gen::weightedElement<std::size_t>({{5, 0}, {1, 1}});
    return s;
}

/// Reference implementation of the merge rules, as simple as possible.
struct reference_merger
{
    std::map<std::uint64_t, std::set<std::uint32_t>> open;
    std::map<std::uint32_t, std::string> results;

    void addReply(const step &s, std::size_t number)
    {
        const auto it = open.find(s.attempt);
        if (it == open.end())
            return;
        const auto expected = it->second;
        open.erase(it);
        const std::set<std::uint32_t> unique(s.shards.begin(), s.shards.end());
        const bool known =
                std::includes(expected.begin(), expected.end(), unique.begin(), unique.end());
        const bool wellFormed = !s.shards.empty() && unique.size() == s.shards.size() &&
                                s.elements == s.shards.size();
        if (s.version != 1 || !known || !wellFormed)
            return;
        for (std::size_t i = 0; i < s.shards.size(); ++i)
            results.emplace(s.shards[i], std::to_string(number * 100 + i));
    }
};

std::string bodyOf(const step &s, std::size_t number)
{
    std::vector<std::uint32_t> values;
    for (std::size_t i = 0; i < s.elements; ++i)
        values.push_back(static_cast<std::uint32_t>(number * 100 + i));
    return " [" + join(values) + "]\n";
}

} // namespace

RC_GTEST_PROP(reply_merger, agreesWithTheReferenceMerger, ())
{
    const auto asked = *rc::gen::container<std::set<std::uint32_t>>(rc::gen::inRange(0U, 6U));
    reply_merger merged(index_version(1), ids(asked));
    reference_merger reference;
    for (std::uint64_t a = 1; a < 5 && !asked.empty(); ++a) {
        std::set<std::uint32_t> some;
        for (const auto shard : asked) {
            if (*rc::gen::arbitrary<bool>())
                some.insert(shard);
        }
        reference.open[a] = some;
        merged.openAttempt(attempt_id(a), ids(some));
    }
    for (std::size_t number = 1; number <= 8; ++number) {
        const step s = anyStep();
        reference.addReply(s, number);
        const std::string shards = join(s.shards);
        const std::string body = bodyOf(s, number);
        merged.addReply({attempt_id(s.attempt), index_version(s.version), shards, body});
    }
    const coverage covered = merged.covered();
    std::set<std::uint32_t> missing = asked;
    for (const auto &entry : reference.results)
        missing.erase(entry.first);
    RC_ASSERT(covered.total == asked.size());
    RC_ASSERT(covered.answered == reference.results.size());
    RC_ASSERT(covered.missing == ids(missing));
    RC_ASSERT(merged.complete() == missing.empty());
    std::map<std::uint32_t, std::string> results;
    for (const auto &r : merged.takeResults())
        results[r.shard.value()] = r.json;
    RC_ASSERT(results == reference.results);
}

// Failure: a reply that must not enter the answer is accepted or dropped for the wrong reason.
TEST(reply_merger, tellsWhyAReplyWasDropped)
{
    reply_merger m(index_version(1), {shard_id(1), shard_id(2)});
    m.openAttempt(attempt_id(1), {shard_id(1)});
    m.openAttempt(attempt_id(2), {shard_id(1)});
    m.openAttempt(attempt_id(3), {shard_id(2)});
    m.openAttempt(attempt_id(4), {shard_id(2)});
    m.openAttempt(attempt_id(5), {shard_id(2)});
    EXPECT_EQ(m.addReply({attempt_id(9), index_version(1), "1", "[1]"}),
              merge_verdict::ForeignAttempt);
    EXPECT_EQ(m.addReply({attempt_id(1), index_version(1), "1", "[1]"}), merge_verdict::Accepted);
    EXPECT_EQ(m.addReply({attempt_id(2), index_version(1), "1", "[7]"}), merge_verdict::Duplicate);
    EXPECT_EQ(m.addReply({attempt_id(3), std::nullopt, "2", "[2]"}), merge_verdict::WrongVersion);
    EXPECT_EQ(m.addReply({attempt_id(4), index_version(1), "1", "[2]"}),
              merge_verdict::WrongShards);
    EXPECT_EQ(m.addReply({attempt_id(5), index_version(1), "2", "[2"}), merge_verdict::Malformed);
    EXPECT_FALSE(m.complete());
}

// Failure: a deeply nested body exhausts the stack when it is serialised again.
TEST(reply_merger, deepBodyIsMalformed)
{
    reply_merger m(index_version(1), {shard_id(1), shard_id(2)});
    m.openAttempt(attempt_id(1), {shard_id(1), shard_id(2)});
    const std::string deep = "[0," + std::string(100000, '[') + std::string(100000, ']') + "]";
    EXPECT_EQ(m.addReply({attempt_id(1), index_version(1), "1,2", deep}), merge_verdict::Malformed);
}
