#include "peridotwheel/query/reply_merger.h"

#include "json_elements.h"

#include <algorithm>
#include <charconv>

namespace peridotwheel {

namespace {

/// Returns the shard ids of an `X-Shards` header, or nothing if it is malformed.
std::optional<std::vector<shard_id>> shardsFromHeader(std::string_view text)
{
    std::vector<shard_id> shards;
    const char *at = text.data();
    const char *const end = at + text.size();
    while (at != end) {
        std::uint32_t value = 0;
        const auto [next, code] = std::from_chars(at, end, value);
        if (code != std::errc())
            return std::nullopt;
        shards.emplace_back(value);
        at = next;
        if (at == end)
            break;
        if (*at++ != ',' || at == end)
            return std::nullopt;
    }
    return shards;
}

bool contains(const std::vector<shard_id> &shards, shard_id shard)
{
    return std::find(shards.begin(), shards.end(), shard) != shards.end();
}

} // namespace

const char *toString(merge_verdict verdict)
{
    switch (verdict) {
    case merge_verdict::Accepted:
        return "accepted";
    case merge_verdict::Duplicate:
        return "duplicate";
    case merge_verdict::ForeignAttempt:
        return "foreign-attempt";
    case merge_verdict::WrongVersion:
        return "wrong-version";
    case merge_verdict::WrongShards:
        return "wrong-shards";
    case merge_verdict::Malformed:
        return "malformed";
    }
    return "unknown";
}

reply_merger::reply_merger(std::optional<index_version> version, std::vector<shard_id> asked)
    : m_version(version)
    , m_results(std::move(asked))
{
}

void reply_merger::openAttempt(attempt_id attempt, std::vector<shard_id> shards)
{
    m_openAttempts.push_back({attempt, std::move(shards)});
}

void reply_merger::openPlainAttempt(attempt_id attempt, shard_id element)
{
    m_openAttempts.push_back({attempt, {element}, true});
}

merge_verdict reply_merger::addReply(const shard_reply &reply)
{
    const auto open = std::find_if(m_openAttempts.begin(), m_openAttempts.end(),
                                   [&](const open_attempt &a) { return a.id == reply.attempt; });
    if (open == m_openAttempts.end())
        return merge_verdict::ForeignAttempt;
    const open_attempt closed = std::move(*open);
    *open = std::move(m_openAttempts.back());
    m_openAttempts.pop_back();
    if (closed.plain)
        return addPlainElement(closed.shards.front(), reply.body);
    const auto &expected = closed.shards;
    if (!m_version || reply.version != m_version)
        return merge_verdict::WrongVersion;
    const auto shards = shardsFromHeader(reply.shards);
    if (!shards || shards->empty())
        return merge_verdict::WrongShards;
    for (std::size_t i = 0; i < shards->size(); ++i) {
        const shard_id shard = (*shards)[i];
        const auto repeated = std::find(shards->begin() + static_cast<std::ptrdiff_t>(i) + 1,
                                        shards->end(), shard) != shards->end();
        if (repeated || !contains(expected, shard))
            return merge_verdict::WrongShards;
    }
    return addShards(*shards, reply.body);
}

merge_verdict reply_merger::addPlainElement(shard_id element, std::string_view body)
{
    if (has(element))
        return merge_verdict::Duplicate;
    auto elements = jsonElements(body, 1);
    if (!elements)
        return merge_verdict::Malformed;
    m_results.addResult(element, std::move(elements->front()));
    return merge_verdict::Accepted;
}

merge_verdict reply_merger::addShards(const std::vector<shard_id> &shards, std::string_view body)
{
    const auto isNew = [this](shard_id s) { return !has(s); };
    if (std::none_of(shards.begin(), shards.end(), isNew))
        return merge_verdict::Duplicate;
    auto elements = jsonElements(body, shards.size());
    if (!elements)
        return merge_verdict::Malformed;
    for (std::size_t i = 0; i < shards.size(); ++i)
        m_results.addResult(shards[i], std::move((*elements)[i]));
    return merge_verdict::Accepted;
}

} // namespace peridotwheel
