#include "connection_table.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>
#include <utility>

namespace peridotwheel {

namespace {

/// Minimum time between sweeps that new connections trigger. A sweep takes time linear in the
/// number of connections, so a flood of new connections must not trigger one each.
constexpr duration minSweepInterval = milliseconds(10);

/// evhttp removes its callbacks when it frees a connection.
bool isReleasedByEvhttp(bufferevent *connection)
{
    bufferevent_event_cb onEvent = nullptr;
    bufferevent_getcb(connection, nullptr, nullptr, &onEvent, nullptr);
    return onEvent == nullptr;
}

} // namespace

connection_table::~connection_table()
{
    clear();
}

void connection_table::clear()
{
    for (const auto &[connection, r] : m_records)
        bufferevent_decref(connection);
    m_records.clear();
    m_idle.clear();
    m_closing = 0;
}

void connection_table::add(bufferevent *connection, time_point now)
{
    if (open() >= m_max && now - m_lastSweep >= minSweepInterval)
        sweep(now);
    if (open() >= m_max)
        closeOldestIdle();
    bufferevent_incref(connection);
    record &r = m_records[connection];
    r.idleSince = now;
    r.position = m_idle.insert(m_idle.end(), connection);
    if (m_memory) {
        const auto drop = [this, connection] { m_disconnectLater(connection); };
        r.holder.emplace(*m_memory, client_memory::holder_hooks{drop, drop}, now);
    }
}

void connection_table::markBusy(bufferevent *connection, time_point now)
{
    const auto it = m_records.find(connection);
    if (it == m_records.end() || it->second.busy || it->second.closing)
        return;
    it->second.busy = true;
    m_idle.erase(it->second.position);
    updateMemory(connection, it->second, now);
}

void connection_table::markIdle(bufferevent *connection, time_point now)
{
    const auto it = m_records.find(connection);
    if (it == m_records.end() || !it->second.busy || it->second.closing)
        return;
    it->second.busy = false;
    it->second.idleSince = now;
    it->second.position = m_idle.insert(m_idle.end(), connection);
}

void connection_table::updateMemory(bufferevent *connection, record &r, time_point now)
{
    if (!r.holder || r.closing || isReleasedByEvhttp(connection))
        return;
    const std::size_t unsent = evbuffer_get_length(bufferevent_get_output(connection));
    const std::size_t received = evbuffer_get_length(bufferevent_get_input(connection));
    client_phase phase = client_phase::Idle;
    if (r.busy)
        phase = client_phase::Running;
    else if (unsent > 0)
        phase = client_phase::Sending;
    else if (received > 0)
        phase = client_phase::Receiving;
    const std::size_t before = std::exchange(r.heldBytes, unsent + received);
    if (phase != r.holder->phase())
        return r.holder->enter(phase, r.heldBytes, now);
    const std::size_t moved = phase == client_phase::Receiving
                                      ? r.heldBytes - std::min(before, r.heldBytes)
                                      : before - std::min(before, r.heldBytes);
    r.holder->update(r.heldBytes, moved, now);
}

void connection_table::updateMemory(bufferevent *connection, time_point now)
{
    const auto it = m_records.find(connection);
    if (it != m_records.end())
        updateMemory(connection, it->second, now);
}

void connection_table::updateMemory(time_point now)
{
    removeReleased();
    for (auto &[connection, r] : m_records)
        updateMemory(connection, r, now);
}

void connection_table::disconnect(bufferevent *connection)
{
    const auto it = m_records.find(connection);
    if (it == m_records.end() || it->second.closing || isReleasedByEvhttp(connection))
        return;
    if (!it->second.busy)
        m_idle.erase(it->second.position);
    close(connection, it->second);
}

void connection_table::close(bufferevent *connection, record &r)
{
    r.closing = true;
    ++m_closing;
    // evhttp then reads the end of the stream and frees the connection through its normal path.
    shutdown(bufferevent_getfd(connection), SHUT_RDWR);
}

void connection_table::closeOldestIdle()
{
    if (m_idle.empty())
        return;
    bufferevent *connection = m_idle.front();
    m_idle.pop_front();
    if (isReleasedByEvhttp(connection)) {
        // The descriptor is closed, and its number may already be reused by another connection.
        m_records.erase(connection);
        bufferevent_decref(connection);
        return;
    }
    close(connection, m_records.at(connection));
}

void connection_table::removeReleased()
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        bufferevent *connection = it->first;
        if (!isReleasedByEvhttp(connection)) {
            ++it;
            continue;
        }
        const record &r = it->second;
        if (r.closing)
            --m_closing;
        if (!r.closing && !r.busy)
            m_idle.erase(r.position);
        it = m_records.erase(it);
        bufferevent_decref(connection);
    }
}

void connection_table::sweep(time_point now)
{
    m_lastSweep = now;
    removeReleased();
    while (!m_idle.empty()) {
        const bool tooLong = now - m_records.at(m_idle.front()).idleSince >= m_idleTimeout;
        if (!tooLong && open() <= m_max)
            return;
        closeOldestIdle();
    }
}

} // namespace peridotwheel
