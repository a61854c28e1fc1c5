#include "peridotwheel/platform/object_watcher.h"

#include <algorithm>

namespace peridotwheel {

object_watcher::object_watcher(event_loop &loop, platform_client &platform, counter_set &counters,
                               std::string kind, std::uint64_t seed, object_watcher_options options,
                               objects_hook onObjects)
    : m_loop(loop)
    , m_platform(platform)
    , m_reads(counters.at("platform.reads." + kind))
    , m_failures(counters.at("platform.read_failures." + kind))
    , m_kind(std::move(kind))
    , m_random(seed)
    , m_options(options)
    , m_onObjects(std::move(onObjects))
    , m_backoff(options.retryFirst)
    , m_self(std::make_shared<object_watcher *>(this))
{
}

object_watcher::~object_watcher() = default;

void object_watcher::start()
{
    m_started = true;
    startNextRead();
}

void object_watcher::setActive(bool active)
{
    if (m_active == active)
        return;
    m_active = active;
    // On deactivation, a watch in flight continues to its end, which is harmless. A new watcher
    // reads at once unless a call is in flight.
    if (m_started && active && !m_inFlight)
        scheduleNextRead(duration::zero());
}

void object_watcher::refresh()
{
    if (!m_started)
        return;
    m_listed = false;
    m_timer.cancel();
    readAll();
}

void object_watcher::startNextRead()
{
    if (m_active && m_listed)
        return watch();
    readAll();
}

void object_watcher::readAll()
{
    m_inFlight = true;
    m_reads.add();
    std::weak_ptr<object_watcher *> weak = m_self;
    m_platform.list(m_kind, [weak, callNumber = ++m_callNumber](const result<watch_result> &read) {
        if (auto self = weak.lock())
            (*self)->onResult(callNumber, read, false);
    });
}

void object_watcher::watch()
{
    m_inFlight = true;
    m_reads.add();
    std::weak_ptr<object_watcher *> weak = m_self;
    m_platform.watch(m_kind, m_nextRevision, m_options.watchWait,
                     [weak, callNumber = ++m_callNumber](const result<watch_result> &read) {
                         if (auto self = weak.lock())
                             (*self)->onResult(callNumber, read, true);
                     });
}

void object_watcher::onResult(std::uint64_t callNumber, const result<watch_result> &read,
                              bool wasWatch)
{
    if (callNumber != m_callNumber)
        return;
    m_inFlight = false;
    if (!read) {
        m_failures.add();
        if (m_onFailure)
            m_onFailure(read.error());
        const duration delay = m_backoff;
        m_backoff =
                std::min(m_backoff * 2, m_active ? m_options.retryMax : m_options.idleReadInterval);
        return scheduleNextRead(jittered(delay));
    }
    m_backoff = m_options.retryFirst;
    if (read.value().compacted) {
        m_listed = false;
        return scheduleNextRead(m_options.pauseBetweenWatches);
    }
    // A stale list may contain a lower revision. Watching from there repeats changes, which the
    // receiver ignores, but skips none.
    m_nextRevision = wasWatch ? std::max(m_nextRevision, read.value().next) : read.value().next;
    m_listed = true;
    scheduleNextRead(m_active ? m_options.pauseBetweenWatches
                              : jittered(m_options.idleReadInterval));
    if (m_onRead)
        m_onRead(read.value(), !wasWatch);
    if (m_onObjects && !read.value().changed.empty())
        m_onObjects(read.value().changed);
}

void object_watcher::scheduleNextRead(duration delay)
{
    if (!m_active)
        m_listed = false;
    m_timer = m_loop.schedule(delay, [this] { startNextRead(); });
}

duration object_watcher::jittered(duration d)
{
    return scaled(d, 0.5 + m_random.fraction());
}

} // namespace peridotwheel
