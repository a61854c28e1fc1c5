#include "peer_types.h"
#include "peridotwheel/relay/relay_message.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <stdexcept>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace peridotwheel {

const std::string relayQueryPath = "/peer/query";
const std::string relayCancelPath = "/peer/cancel";

namespace {

using apache::thrift::transport::TMemoryBuffer;
using protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

constexpr std::size_t maxIdBytes = 256;
/// Upper bound of a duration in a message: 24 hours. No caller sets a longer deadline.
constexpr std::int64_t maxDurationUs = std::int64_t{24} * 3600 * 1000 * 1000;

void require(bool condition, const char *what)
{
    if (!condition)
        throw std::runtime_error(what);
}

template <class Message>
std::string encode(const Message &message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    protocol writer(buffer);
    message.write(&writer);
    return buffer->getBufferAsString();
}

template <class Message>
Message decode(const std::string &body)
{
    require(body.size() <= std::numeric_limits<std::uint32_t>::max(), "message is 4 GiB or larger");
    auto buffer = std::make_shared<TMemoryBuffer>(
            // The buffer only observes these bytes; Thrift's interface lacks the const.
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(body.data())),
            static_cast<std::uint32_t>(body.size()));
    protocol reader(buffer, static_cast<std::int32_t>(maxRelayTextBytes),
                    static_cast<std::int32_t>(maxRelayShards));
    Message in;
    in.read(&reader);
    return in;
}

template <class Fn>
auto decodeOrError(Fn fn) -> result<decltype(fn())>
{
    try {
        return fn();
    } catch (const std::exception &e) {
        return failure(error_kind::InvalidArgument,
                       std::string("malformed relay message: ") + e.what());
    }
}

std::vector<std::int32_t> toWire(const std::vector<shard_id> &shards)
{
    std::vector<std::int32_t> out;
    out.reserve(shards.size());
    for (const shard_id s : shards)
        out.push_back(static_cast<std::int32_t>(s.value()));
    return out;
}

std::vector<shard_id> shardsFrom(const std::vector<std::int32_t> &in)
{
    std::vector<shard_id> out;
    out.reserve(in.size());
    for (const std::int32_t s : in)
        out.emplace_back(static_cast<std::uint32_t>(s));
    require(std::adjacent_find(out.begin(), out.end(), std::greater_equal<>()) == out.end(),
            "shards are not ascending or contain duplicates");
    return out;
}

duration durationFrom(std::int64_t microseconds)
{
    require(microseconds >= 0 && microseconds <= maxDurationUs,
            "duration is negative or longer than 24 h");
    return duration(microseconds);
}

const std::string &idFrom(const std::string &text)
{
    require(!text.empty() && text.size() <= maxIdBytes,
            "an id or name is empty or longer than 256 bytes");
    return text;
}

void setVersion(std::optional<index_version> &to, std::int64_t value)
{
    to = index_version(static_cast<std::uint64_t>(value));
}

class_spec specFrom(const wire::RelayQuery &in)
{
    class_spec spec;
    spec.name = class_name(idFrom(in.className));
    spec.latencyTarget = durationFrom(in.latencyTargetUs);
    require(in.quantile > 0 && in.quantile <= 1, "quantile is not in (0, 1]");
    require(in.coverageTarget >= 0 && in.coverageTarget <= 1, "coverage target is not in [0, 1]");
    require(in.rank >= 0, "rank is negative");
    spec.quantile = in.quantile;
    spec.coverageTarget = in.coverageTarget;
    spec.rank = class_rank(static_cast<std::uint32_t>(in.rank));
    return spec;
}

relay_query queryFrom(const wire::RelayQuery &in, time_point now)
{
    relay_query out;
    out.key = {instance_id(idFrom(in.origin)),
               start_id(static_cast<std::uint64_t>(in.originStartId)),
               static_cast<std::uint64_t>(in.relayId)};
    query_request &r = out.request;
    r.id = request_id(idFrom(in.requestId));
    r.spec = specFrom(in);
    r.arrival = now - durationFrom(in.sinceArrivalUs);
    r.deadline = now + durationFrom(in.remainingUs);
    r.repeatable = in.repeatable;
    r.text = in.text;
    r.shards = shardsFrom(in.shards);
    for (const auto &name : in.plainServices)
        r.services.emplace_back(idFrom(name));
    if (in.__isset.indexVersion)
        setVersion(r.pinnedVersion, in.indexVersion);
    if (in.__isset.issuedAtMs)
        r.issuedAt = wall_time(milliseconds(in.issuedAtMs));
    require(!r.shards.empty() || !r.services.empty(),
            "neither shards nor plain services are requested");
    require(r.shards.empty() || r.pinnedVersion, "shards are requested without an index version");
    return out;
}

relay_answer answerFrom(const wire::RelayAnswer &in)
{
    relay_answer out;
    out.id = static_cast<std::uint64_t>(in.relayId);
    query_answer &a = out.answer;
    require(in.kind >= 0 && in.kind <= static_cast<std::int32_t>(answer_kind::Failed),
            "unknown answer kind");
    require(in.ran >= 0 && in.ran <= static_cast<std::int32_t>(ran_state::Unknown),
            "unknown value of 'ran'");
    a.kind = static_cast<answer_kind>(in.kind);
    a.ran = static_cast<ran_state>(in.ran);
    a.version = index_version(in.__isset.indexVersion ? static_cast<std::uint64_t>(in.indexVersion)
                                                      : 0);
    for (const auto &r : in.results)
        a.results.push_back({shard_id(static_cast<std::uint32_t>(r.shard)), r.json});
    a.covered.missing = shardsFrom(in.missing);
    a.covered.answered = static_cast<std::uint32_t>(a.results.size());
    a.covered.total = a.covered.answered + static_cast<std::uint32_t>(a.covered.missing.size());
    a.detail = in.detail;
    a.versionLost = in.versionLost;
    out.notOwned = shardsFrom(in.notOwned);
    return out;
}

} // namespace

std::string encodeRelayQuery(const relay_query &query, time_point now)
{
    const query_request &r = query.request;
    wire::RelayQuery out;
    out.origin = query.key.origin.value();
    out.originStartId = static_cast<std::int64_t>(query.key.start.value());
    out.relayId = static_cast<std::int64_t>(query.key.id);
    out.requestId = r.id.value();
    out.className = r.spec.name.value();
    out.rank = static_cast<std::int32_t>(r.spec.rank.value());
    out.quantile = r.spec.quantile;
    out.coverageTarget = r.spec.coverageTarget;
    out.latencyTargetUs = r.spec.latencyTarget.count();
    out.sinceArrivalUs = std::max(now - r.arrival, duration::zero()).count();
    out.remainingUs = std::max(r.deadline - now, duration::zero()).count();
    out.repeatable = r.repeatable;
    if (r.pinnedVersion)
        out.__set_indexVersion(static_cast<std::int64_t>(r.pinnedVersion->value()));
    out.shards = toWire(r.shards);
    for (const auto &name : r.services)
        out.plainServices.push_back(name.value());
    out.text = r.text;
    if (r.issuedAt)
        out.__set_issuedAtMs(r.issuedAt->time_since_epoch().count());
    return encode(out);
}

result<relay_query> decodeRelayQuery(const std::string &body, time_point now)
{
    return decodeOrError([&] { return queryFrom(decode<wire::RelayQuery>(body), now); });
}

std::string encodeRelayAnswer(const relay_answer &answer)
{
    const query_answer &a = answer.answer;
    wire::RelayAnswer out;
    out.relayId = static_cast<std::int64_t>(answer.id);
    out.kind = static_cast<std::int32_t>(a.kind);
    out.ran = static_cast<std::int32_t>(a.ran);
    if (a.version != index_version())
        out.__set_indexVersion(static_cast<std::int64_t>(a.version.value()));
    for (const auto &r : a.results) {
        wire::RelayResult item;
        item.shard = static_cast<std::int32_t>(r.shard.value());
        item.json = r.json;
        out.results.push_back(std::move(item));
    }
    out.missing = toWire(a.covered.missing);
    out.notOwned = toWire(answer.notOwned);
    out.versionLost = a.versionLost;
    out.detail = a.detail;
    return encode(out);
}

result<relay_answer> decodeRelayAnswer(const std::string &body)
{
    return decodeOrError([&] { return answerFrom(decode<wire::RelayAnswer>(body)); });
}

std::string encodeRelayCancel(const relay_key &key)
{
    wire::RelayCancel out;
    out.origin = key.origin.value();
    out.originStartId = static_cast<std::int64_t>(key.start.value());
    out.relayId = static_cast<std::int64_t>(key.id);
    return encode(out);
}

result<relay_key> decodeRelayCancel(const std::string &body)
{
    return decodeOrError([&] {
        const auto in = decode<wire::RelayCancel>(body);
        return relay_key{instance_id(idFrom(in.origin)),
                         start_id(static_cast<std::uint64_t>(in.originStartId)),
                         static_cast<std::uint64_t>(in.relayId)};
    });
}

} // namespace peridotwheel
