#include "peridotwheel/bench/reply_check.h"

#include <nlohmann/json.hpp>
#include <set>

namespace peridotwheel {

namespace {

using json = nlohmann::json;

std::string text(const json &object, const char *key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::uint64_t number(const json &object, const char *key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

/// Checks the results against the version, the coverage and the query that the answer states.
void checkResults(const expected_reply &expected, const json &answer, violation_counts &violations)
{
    const std::uint64_t version = number(answer, "snapshotVersion");
    std::set<std::uint64_t> shards;
    for (const auto &result : answer.value("results", json::array())) {
        const json value = result.value("value", json::object());
        if (text(value, "query") != expected.queryText)
            ++violations["crossed_answer"];
        if (!expected.sharded)
            continue;
        const std::uint64_t shard = number(result, "shard");
        if (number(value, "version") != version || number(value, "shard") != shard)
            ++violations["mixed_version"];
        if (!shards.insert(shard).second)
            ++violations["duplicate_shard"];
    }
    if (!expected.sharded)
        return;
    const json covered = answer.value("coverage", json::object());
    const auto missing = covered.value("missing", json::array());
    const std::uint64_t answered = number(covered, "answered");
    if (answered != shards.size() || answered + missing.size() != number(covered, "total"))
        ++violations["false_coverage"];
    for (const auto &shard : missing) {
        if (shards.count(shard.get<std::uint64_t>()) != 0)
            ++violations["false_coverage"];
    }
}

} // namespace

observed_reply checkReply(const expected_reply &expected, const http_outcome &outcome,
                          violation_counts &violations)
{
    observed_reply seen;
    if (!outcome.ok()) {
        seen.unknown = outcome.failure == transport_failure::MayHaveRun;
        seen.refusedNotRun = outcome.failure == transport_failure::NotSent;
        if (seen.unknown)
            ++violations["no_reply"];
        return seen;
    }
    const json answer = json::parse(outcome.reply.body, nullptr, false);
    if (!answer.is_object()) {
        ++violations["malformed_answer"];
        seen.unknown = true;
        return seen;
    }
    const std::string ran = text(answer, "ran");
    seen.refusedNotRun = ran == "no";
    seen.unknown = ran != "yes" && ran != "no";
    const json covered = answer.value("coverage", json::object());
    const auto total = number(covered, "total");
    if (total != 0) {
        seen.coverage =
                static_cast<double>(number(covered, "answered")) / static_cast<double>(total);
    }
    if (outcome.reply.status != 200)
        return seen;
    if (text(answer, "requestId") != expected.requestId)
        ++violations["crossed_answer"];
    seen.answered = true;
    seen.refusedNotRun = false;
    checkResults(expected, answer, violations);
    return seen;
}

} // namespace peridotwheel
