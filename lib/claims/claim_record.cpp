#include "peridotwheel/claims/claim_record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotwheel {

namespace {

using nlohmann::json;

template <class Enum, std::size_t Size>
using name_table = std::array<std::pair<Enum, const char *>, Size>;

constexpr name_table<claim_state, 5> stateNames = {{
        {claim_state::Claimed, "claimed"},
        {claim_state::Sent, "sent"},
        {claim_state::Done, "done"},
        {claim_state::Failed, "failed"},
        {claim_state::Released, "released"},
}};

/// Only kinds of answers that report that the request ran are stored.
constexpr name_table<answer_kind, 3> answerNames = {{
        {answer_kind::Complete, "complete"},
        {answer_kind::Partial, "partial"},
        {answer_kind::Failed, "failed"},
}};

template <class Enum, std::size_t Size>
const char *nameOf(const name_table<Enum, Size> &table, Enum value, const char *otherwise)
{
    for (const auto &[known, name] : table) {
        if (known == value)
            return name;
    }
    return otherwise;
}

template <class Enum, std::size_t Size>
std::optional<Enum> valueOf(const name_table<Enum, Size> &table, const std::string &name)
{
    for (const auto &[value, known] : table) {
        if (name == known)
            return value;
    }
    return std::nullopt;
}

std::int64_t toMs(wall_time t)
{
    return t.time_since_epoch().count();
}

wall_time fromMs(std::int64_t ms)
{
    return wall_time(milliseconds(ms));
}

json resultsToJson(const query_answer &answer)
{
    std::size_t bytes = 0;
    json results = json::array();
    for (const auto &r : answer.results) {
        bytes += r.json.size();
        results.push_back({{"shard", r.shard.value()}, {"json", r.json}});
    }
    return bytes <= maxStoredResultBytes ? results : json();
}

json answerToJson(const query_answer &answer)
{
    json missing = json::array();
    for (const auto &shard : answer.covered.missing)
        missing.push_back(shard.value());
    return {{"kind", nameOf(answerNames, answer.kind, "failed")},
            {"version", answer.version.value()},
            {"answered", answer.covered.answered},
            {"total", answer.covered.total},
            {"missing", std::move(missing)},
            {"detail", answer.detail},
            {"results", resultsToJson(answer)}};
}

query_answer answerFromJson(const json &j)
{
    query_answer answer;
    answer.kind =
            valueOf(answerNames, j.at("kind").get<std::string>()).value_or(answer_kind::Failed);
    answer.ran = ran_state::Yes;
    answer.version = index_version(j.at("version").get<std::uint64_t>());
    answer.covered.answered = j.at("answered").get<std::uint32_t>();
    answer.covered.total = j.at("total").get<std::uint32_t>();
    for (const auto &shard : j.at("missing"))
        answer.covered.missing.emplace_back(shard.get<std::uint32_t>());
    answer.detail = j.at("detail").get<std::string>();
    const json &results = j.at("results");
    if (results.is_null()) {
        answer.detail += (answer.detail.empty() ? "" : "; ") +
                         std::string("ran earlier, its results were too large to keep");
        return answer;
    }
    for (const auto &r : results) {
        answer.results.push_back(
                {shard_id(r.at("shard").get<std::uint32_t>()), r.at("json").get<std::string>()});
    }
    return answer;
}

} // namespace

const char *toString(claim_state state)
{
    return nameOf(stateNames, state, "unknown");
}

bool seals(const claim_record &record, wall_time issuedAt)
{
    return record.state == claim_state::Released && issuedAt <= record.sealedUpTo;
}

object_key claimKey(const request_id &id)
{
    return {"claims", id.value()};
}

std::string toJson(const claim_record &record)
{
    json j = {{"state", toString(record.state)},     {"nonce", record.nonce},
              {"instance", record.instance.value()}, {"claimedAt", toMs(record.claimedAt)},
              {"issuedAt", toMs(record.issuedAt)},   {"sealedUpTo", toMs(record.sealedUpTo)},
              {"changedAt", toMs(record.changedAt)}};
    if (record.answer)
        j["answer"] = answerToJson(*record.answer);
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claim_record> claimRecordFromJson(const std::string &text)
{
    try {
        const json j = json::parse(text);
        claim_record record;
        const auto state = valueOf(stateNames, j.at("state").get<std::string>());
        if (!state) {
            return failure(error_kind::InvalidArgument,
                           "claim record has unknown state '" + j.at("state").get<std::string>() +
                                   "'; remove the object if no instance wrote it");
        }
        record.state = *state;
        record.nonce = j.at("nonce").get<std::string>();
        record.instance = instance_id(j.at("instance").get<std::string>());
        record.claimedAt = fromMs(j.at("claimedAt").get<std::int64_t>());
        // Records written by earlier versions of the software have neither of these two fields.
        record.issuedAt = fromMs(j.value("issuedAt", std::int64_t{0}));
        record.sealedUpTo = fromMs(j.value("sealedUpTo", std::int64_t{0}));
        record.changedAt = fromMs(j.at("changedAt").get<std::int64_t>());
        if (j.contains("answer"))
            record.answer = answerFromJson(j.at("answer"));
        return record;
    } catch (const json::exception &problem) {
        return failure(error_kind::InvalidArgument,
                       std::string("claim record is malformed (") + problem.what() +
                               "); remove the object if no instance wrote it");
    }
}

} // namespace peridotwheel
