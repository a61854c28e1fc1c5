#include "peridotwheel/http/client_memory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotwheel {

namespace {

/// Share of a process's memory. A reply is copied up to three times for a moment on its way to the
/// client, freed memory is partly fragmented, and replies of servers take a sixth twice.
constexpr std::size_t memoryDivisor = 6;
/// Descriptors that the machine reserves for files.
constexpr std::size_t fileDescriptors = 200;
/// Connections that are accepted at least, however few descriptors there are.
constexpr std::size_t minConnections = 16;
/// Time within which a client sends the first request on a new connection, as `stream_server`
/// allows when it stops accepting.
constexpr duration firstRequestTimeout = milliseconds(300);
/// A connection that lags by less is not closed to make room for another one.
constexpr duration minLagToClose = seconds(1);
/// A connection that was to be closed may have received a request at that moment, and then another
/// one is tried.
constexpr int maxCloseAttempts = 4;

} // namespace

const char *clientPhaseName(client_phase phase)
{
    switch (phase) {
    case client_phase::Fresh:
        return "fresh";
    case client_phase::Idle:
        return "idle";
    case client_phase::Receiving:
        return "receiving";
    case client_phase::Running:
        return "running";
    case client_phase::Sending:
        return "sending";
    case client_phase::Closing:
        return "closing";
    }
    return "unknown";
}

client_limits client_limits::forProcess(std::size_t processBytes, std::size_t processDescriptors)
{
    const std::size_t sockets =
            processDescriptors > fileDescriptors ? processDescriptors - fileDescriptors : 0;
    // A quarter stays for servers, the store and other instances.
    return {processBytes / memoryDivisor, std::max(sockets - sockets / 4, minConnections)};
}

client_memory::holder::holder(client_memory &memory, holder_hooks hooks, time_point now)
    : m_memory(memory)
    , m_hooks(std::move(hooks))
    , m_index(memory.m_holders.size())
    , m_since(now)
{
    m_memory.m_holders.push_back(this);
}

client_memory::holder::~holder()
{
    m_memory.change(*this, client_phase::Idle, 0);
    auto &all = m_memory.m_holders;
    all[m_index] = all.back();
    all[m_index]->m_index = m_index;
    all.pop_back();
}

void client_memory::holder::enter(client_phase phase, std::size_t bytes, time_point now)
{
    m_since = now;
    m_moved = 0;
    m_memory.change(*this, phase, bytes);
    m_memory.dropUntilWithinLimit(now);
}

void client_memory::holder::update(std::size_t bytes, std::size_t moved, time_point now)
{
    m_moved += moved;
    m_memory.change(*this, m_phase, bytes);
    m_memory.dropUntilWithinLimit(now);
}

duration client_memory::holder::lag(time_point now) const
{
    if (m_phase != client_phase::Receiving && m_phase != client_phase::Sending)
        return duration::zero();
    const double secondsAtMinPace =
            static_cast<double>(m_moved) / static_cast<double>(minPaceBytesPerSecond);
    return std::max(now - m_since - fromMilliseconds(1000 * secondsAtMinPace), duration::zero());
}

bool client_memory::admit(std::size_t bytes)
{
    if (m_runningBytes == 0 || m_runningBytes + bytes <= m_limits.bytes / 2)
        return true;
    m_hooks.onRefused(exceeded_limit::Memory, bytes);
    return false;
}

bool client_memory::makeRoom(time_point now)
{
    for (int i = 0; i < maxCloseAttempts && m_holders.size() >= m_limits.connections; ++i) {
        const holder *h = connectionToClose(now);
        if (h == nullptr)
            break;
        const std::size_t before = m_holders.size();
        const client_phase phase = h->m_phase;
        const std::size_t bytes = h->m_bytes;
        // The call may destroy the holder with its hooks, so a copy of the hook is called.
        const auto disconnect = h->m_hooks.disconnect;
        disconnect();
        if (m_holders.size() < before)
            m_hooks.onDropped(exceeded_limit::Connections, phase, bytes);
    }
    if (m_holders.size() < m_limits.connections)
        return true;
    m_hooks.onRefused(exceeded_limit::Connections, 0);
    return false;
}

void client_memory::change(holder &h, client_phase phase, std::size_t bytes)
{
    if (h.m_phase == client_phase::Running)
        m_runningBytes -= h.m_bytes;
    m_bytes -= h.m_bytes;
    h.m_phase = phase;
    h.m_bytes = bytes;
    m_bytes += bytes;
    if (phase == client_phase::Running)
        m_runningBytes += bytes;
}

bool client_memory::isExceeded() const
{
    if (m_bytes <= m_limits.bytes)
        return false;
    const holder *largest = *std::max_element(
            m_holders.begin(), m_holders.end(),
            [](const holder *a, const holder *b) { return a->m_bytes < b->m_bytes; });
    return m_bytes - largest->m_bytes > m_limits.bytes / 2;
}

void client_memory::dropUntilWithinLimit(time_point now)
{
    while (isExceeded()) {
        const auto rank = [now](const holder *h) {
            // Disconnecting a client for which nothing is held gains nothing.
            return std::make_tuple(h->m_bytes > 0, h->lag(now), h->m_bytes);
        };
        holder &worst = **std::max_element(
                m_holders.begin(), m_holders.end(),
                [&rank](const holder *a, const holder *b) { return rank(a) < rank(b); });
        m_hooks.onDropped(exceeded_limit::Memory, worst.m_phase, worst.m_bytes);
        change(worst, client_phase::Idle, 0);
        worst.m_hooks.release();
    }
}

client_memory::holder *client_memory::connectionToClose(time_point now) const
{
    enum class preference { Never, Idle, Slow, Fresh };
    const auto rank = [now](const holder *h) -> std::pair<preference, duration> {
        const duration age = now - h->m_since;
        const duration lag = h->lag(now);
        if (h->m_phase == client_phase::Fresh && age >= firstRequestTimeout)
            return {preference::Fresh, age};
        if (lag >= minLagToClose)
            return {preference::Slow, lag};
        return {h->m_phase == client_phase::Idle ? preference::Idle : preference::Never, age};
    };
    const auto found = std::max_element(
            m_holders.begin(), m_holders.end(),
            [&rank](const holder *a, const holder *b) { return rank(a) < rank(b); });
    if (found == m_holders.end() || rank(*found).first == preference::Never)
        return nullptr;
    return *found;
}

} // namespace peridotwheel
