#include "configuration_fetcher.h"

#include "peridotwheel/gateway/decision_log.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr duration chunkTimeout = milliseconds(600);
/// Delay after all sources were busy, randomised up to twice as long.
constexpr duration busyDelay = milliseconds(60);
constexpr std::size_t maxSources = 8;

} // namespace

configuration_fetcher::configuration_fetcher(event_loop &loop, http_client &http, decision_log &log,
                                             std::string kind, endpoint self, std::uint64_t seed,
                                             configuration_fetcher_hooks hooks)
    : m_loop(loop)
    , m_http(http)
    , m_log(log)
    , m_kind(std::move(kind))
    , m_self(std::move(self))
    , m_random(seed)
    , m_hooks(std::move(hooks))
{
}

configuration_fetcher::~configuration_fetcher() = default;

bool configuration_fetcher::isNewer(configuration_version version) const
{
    return version > m_hooks.known() && version > m_fetched;
}

duration configuration_fetcher::behindFor() const
{
    return isOutdated() ? m_loop.now() - m_behindSince : duration::zero();
}

void configuration_fetcher::announce(configuration_version version, const endpoint &source)
{
    if (!isNewer(version) || source == m_self)
        return;
    if (!isOutdated())
        m_behindSince = m_loop.now();
    m_newest = std::max(m_newest, version);
    addSource(source);
    continueFetching();
}

void configuration_fetcher::addSource(const endpoint &source)
{
    const bool isKnown = std::find(m_sources.begin(), m_sources.end(), source) != m_sources.end();
    if (!isKnown && source != m_self && m_sources.size() < maxSources)
        m_sources.push_back(source);
}

void configuration_fetcher::dropFirstSource()
{
    if (!m_sources.empty())
        m_sources.pop_front();
}

void configuration_fetcher::discard()
{
    m_document = {};
    m_documentBytes = 0;
}

void configuration_fetcher::continueFetching()
{
    if (m_inFlight || m_retry)
        return;
    if (!isOutdated()) {
        m_sources.clear();
        return discard();
    }
    if (!m_sources.empty())
        requestChunk();
}

void configuration_fetcher::requestChunk()
{
    http_request request;
    request.method = http_method::Post;
    request.path = configurationPath;
    request.lane = configurationPath;
    request.body =
            encodeConfigurationRequest({std::max(m_hooks.known(), m_fetched), m_document.checksum,
                                        m_document.compressed.size(), m_self});
    m_inFlight = true;
    const endpoint to = m_sources.front();
    m_http.send(to, request, chunkTimeout,
                [this, to, alive = std::weak_ptr<int>(m_alive)](const http_outcome &outcome) {
                    if (alive.expired())
                        return;
                    m_inFlight = false;
                    onOutcome(to, outcome);
                    continueFetching();
                });
}

void configuration_fetcher::onOutcome(const endpoint &from, const http_outcome &outcome)
{
    constexpr int ok = 200;
    if (!outcome.ok() || outcome.reply.status != ok) {
        m_log.decision("configuration_not_sent").add("address", from.address);
        return dropFirstSource();
    }
    auto reply = decodeConfigurationReply(outcome.reply.body);
    if (!reply) {
        m_log.decision("peer_configuration_refused").add("reason", reply.error().message);
        return dropFirstSource();
    }
    onReply(from, std::move(reply).value());
}

void configuration_fetcher::onReply(const endpoint &from, configuration_reply reply)
{
    if (!isNewer(reply.document.version))
        return dropFirstSource();
    for (const endpoint &holder : reply.holders)
        addSource(holder);
    if (reply.document.checksum != m_document.checksum) {
        m_document = std::move(reply.document);
        m_documentBytes = reply.documentBytes;
    }
    if (reply.offset != m_document.compressed.size()) {
        m_log.decision("peer_configuration_refused").add("reason", "chunk at another offset");
        return dropFirstSource();
    }
    if (reply.chunk.empty() && reply.offset < m_documentBytes)
        return onBusySource();
    m_busySources = 0;
    m_document.compressed += reply.chunk;
    if (m_document.compressed.size() >= m_documentBytes)
        finish(from);
}

void configuration_fetcher::onBusySource()
{
    m_sources.push_back(m_sources.front());
    m_sources.pop_front();
    ++m_busySources;
    if (m_busySources < m_sources.size())
        return;
    m_busySources = 0;
    m_retry = m_loop.schedule(scaled(busyDelay, 1 + m_random.fraction()), [this] {
        m_retry.cancel();
        continueFetching();
    });
}

void configuration_fetcher::finish(const endpoint &from)
{
    configuration_document document = std::exchange(m_document, {});
    discard();
    const auto object = objectOf(document, m_kind);
    if (!object) {
        m_log.decision("peer_configuration_refused").add("reason", object.error().message);
        return dropFirstSource();
    }
    m_fetched = std::max(m_fetched, document.version);
    m_hooks.onDocument(std::move(document), object.value(), from);
}

} // namespace peridotwheel
