#include "peridotwheel/relay/relay_service.h"

#include "peridotwheel/query/query_engine.h"

#include <algorithm>
#include <iterator>

namespace peridotwheel {

namespace {

const http_headers plainText{{"Content-Type", "text/plain"}};
const http_headers thriftBody{{"Content-Type", "application/vnd.apache.thrift.compact"}};

/// Minimum interval between probes of a shard whose own servers are all suspect. Such shards are
/// answered as not owned, so that only a probe shows that the servers have recovered.
constexpr duration probeInterval = milliseconds(200);
/// Bounds the memory for probe times: when more shards than this are stored, all are cleared.
constexpr std::size_t maxProbedShards = 4096;

shard_id plainShard(std::size_t index)
{
    return shard_id(firstPlainShard + static_cast<std::uint32_t>(index));
}

} // namespace

/// A part of another instance's query, split into what runs here and what is not owned.
struct relay_service::split_part
{
    query_request request;
    std::vector<shard_id> notOwned; ///< Ascending.
    std::vector<shard_id> suspect;  ///< Of the above: no own connection is usable.
    /// Numbers of the plain services that run here, as the origin numbers them.
    std::vector<shard_id> plainNumbers;
    bool versionKnown = true;
};

relay_service::relay_service(event_loop &loop, const blackboard &board, query_executor &local,
                             relay_hooks hooks, counter_set &counters)
    : m_loop(loop)
    , m_board(board)
    , m_local(local)
    , m_directory(board, std::move(hooks))
    , m_answered(counters.at("relay.parts-answered"))
    , m_notOwned(counters.at("relay.parts-not-owned"))
    , m_cancelled(counters.at("relay.parts-cancelled"))
    , m_malformed(counters.at("relay.malformed"))
    , m_probes(counters.at("relay.probes"))
    , m_this(std::make_shared<relay_service *>(this))
{
}

relay_service::~relay_service() = default;

bool relay_service::handles(const std::string &path)
{
    return path == relayQueryPath || path == relayCancelPath;
}

void relay_service::handle(const http_request &request,
                           const std::shared_ptr<http_responder> &responder)
{
    if (request.method != http_method::Post)
        return responder->reply({405, plainText, "use POST\n"});
    if (request.path == relayCancelPath)
        return onCancel(request, responder);
    onQuery(request, responder);
}

void relay_service::onCancel(const http_request &request,
                             const std::shared_ptr<http_responder> &responder)
{
    const auto key = decodeRelayCancel(request.body);
    if (!key) {
        m_malformed.add();
        return responder->reply({400, plainText, key.error().message + "\n"});
    }
    responder->reply({200, plainText, ""});
    const auto it = m_running.find(key.value());
    if (it == m_running.end())
        return;
    m_cancelled.add();
    // Cancelling ends the query, which removes the entry from m_running.
    const auto cancellation = it->second;
    cancellation->cancel();
}

void relay_service::onQuery(const http_request &request,
                            const std::shared_ptr<http_responder> &responder)
{
    const auto decoded = decodeRelayQuery(request.body, m_loop.now());
    if (!decoded) {
        m_malformed.add();
        return responder->reply({400, plainText, decoded.error().message + "\n"});
    }
    const relay_key &key = decoded.value().key;
    if (m_running.count(key) > 0)
        return responder->reply(
                {409, plainText, "a part with the same origin, start and id is already running\n"});
    split_part part = split(decoded.value().request);
    probe(decoded.value().request, part.suspect);
    if (part.request.shards.empty() && part.request.services.empty()) {
        m_notOwned.add();
        query_answer none;
        none.kind = answer_kind::RefusedState;
        none.versionLost = !part.versionKnown;
        none.detail = "this instance has no usable connection to the servers; not run";
        return reply(key.id, part, std::move(none), *responder);
    }
    const auto cancellation = std::make_shared<query_cancellation>();
    part.request.cancellation = cancellation;
    m_running.emplace(key, cancellation);
    responder->onClientDisconnected([weak = std::weak_ptr<query_cancellation>(cancellation)] {
        if (const auto c = weak.lock())
            c->cancel();
    });
    query_request local = part.request;
    m_local.run(std::move(local), [weak = std::weak_ptr<relay_service *>(m_this), key,
                                   part = std::move(part), responder](query_answer answer) {
        if (const auto self = weak.lock())
            (*self)->finish(key, part, std::move(answer), *responder);
    });
}

relay_service::ownership relay_service::ownershipOf(const std::vector<server_id> &replicas)
{
    ownership best = ownership::None;
    for (const auto &server : replicas) {
        if (!m_directory.owns(server))
            continue;
        if (m_directory.usable(server))
            return ownership::Usable;
        best = ownership::Suspect;
    }
    return best;
}

relay_service::ownership relay_service::ownershipOf(const service_name &plain)
{
    std::vector<server_id> servers;
    for (const auto &[id, record] : m_board.servers.value()) {
        if (!record.sharded && record.service == plain)
            servers.push_back(id);
    }
    return ownershipOf(servers);
}

relay_service::split_part relay_service::split(const query_request &request)
{
    m_directory.refresh();
    split_part part;
    part.request = request;
    part.request.shards.clear();
    part.request.services.clear();
    const auto &retained = m_board.snapshots.value().retained;
    const auto known =
            request.pinnedVersion ? retained.find(*request.pinnedVersion) : retained.end();
    part.versionKnown = !request.pinnedVersion || known != retained.end();
    for (const shard_id id : request.shards) {
        ownership own = ownership::None;
        if (part.versionKnown) {
            const auto &shards = known->second->shards;
            const auto it =
                    std::lower_bound(shards.begin(), shards.end(), id,
                                     [](const shard &s, shard_id wanted) { return s.id < wanted; });
            if (it != shards.end() && it->id == id)
                own = ownershipOf(it->replicas);
        }
        if (own == ownership::Suspect)
            part.suspect.push_back(id);
        (own == ownership::Usable ? part.request.shards : part.notOwned).push_back(id);
    }
    for (std::size_t i = 0; i < request.services.size(); ++i) {
        if (part.versionKnown && ownershipOf(request.services[i]) == ownership::Usable) {
            part.request.services.push_back(request.services[i]);
            part.plainNumbers.push_back(plainShard(i));
        } else {
            part.notOwned.push_back(plainShard(i));
        }
    }
    if (part.request.shards.empty())
        part.request.pinnedVersion.reset();
    return part;
}

void relay_service::probe(const query_request &request, const std::vector<shard_id> &shards)
{
    if (shards.empty() || !request.repeatable)
        return;
    const time_point now = m_loop.now();
    if (m_lastProbeAt.size() > maxProbedShards)
        m_lastProbeAt.clear();
    query_request probe = request;
    probe.shards.clear();
    probe.services.clear();
    for (const shard_id id : shards) {
        const auto [it, isNew] = m_lastProbeAt.try_emplace(id, now);
        if (!isNew && now - it->second < probeInterval)
            continue;
        it->second = now;
        probe.shards.push_back(id);
    }
    if (probe.shards.empty())
        return;
    m_probes.add();
    m_local.run(std::move(probe), [](const query_answer &) {});
}

void relay_service::finish(const relay_key &key, const split_part &part, query_answer answer,
                           http_responder &responder)
{
    m_running.erase(key);
    m_answered.add();
    // The engine numbers only the plain services that run here; restore the origin's numbers.
    const auto renumber = [&part](shard_id &shard) {
        if (shard.value() >= firstPlainShard)
            shard = part.plainNumbers[shard.value() - firstPlainShard];
    };
    for (auto &r : answer.results)
        renumber(r.shard);
    for (auto &shard : answer.covered.missing)
        renumber(shard);
    reply(key.id, part, std::move(answer), responder);
}

void relay_service::reply(std::uint64_t id, const split_part &part, query_answer answer,
                          http_responder &responder)
{
    relay_answer out;
    out.id = id;
    out.notOwned = part.notOwned;
    std::vector<shard_id> missing;
    std::set_union(answer.covered.missing.begin(), answer.covered.missing.end(),
                   part.notOwned.begin(), part.notOwned.end(), std::back_inserter(missing));
    answer.covered.missing = std::move(missing);
    out.answer = std::move(answer);
    responder.reply({200, thriftBody, encodeRelayAnswer(out)});
}

} // namespace peridotwheel
