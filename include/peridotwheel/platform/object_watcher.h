#ifndef PERIDOTWHEEL_PLATFORM_OBJECT_WATCHER_H
#define PERIDOTWHEEL_PLATFORM_OBJECT_WATCHER_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"

#include <functional>
#include <memory>

namespace peridotwheel {

struct object_watcher_options
{
    /// How long the platform may hold one watch open while nothing changes.
    duration watchWait = seconds(20);
    /// Delay before a failed read is retried. Doubles up to `retryMax`, or up to `idleReadInterval`
    /// on an instance that does not watch. Each delay is randomised by half in either direction, so
    /// that instances do not retry in step after an outage.
    duration retryFirst = milliseconds(200);
    duration retryMax = seconds(5);
    /// How often an instance that does not watch still reads the kind, in case every watcher of its
    /// data centre is disconnected. With 5,300 instances this causes 177 reads/s.
    duration idleReadInterval = seconds(30);
    /// Pause between two watches, which bounds the call rate if the platform answers every watch at
    /// once.
    duration pauseBetweenWatches = milliseconds(50);
};

/// Reads all objects of one kind, and watches them while active.
///
/// Its memory use does not depend on the number of objects: it does not keep them.
class object_watcher
{
public:
    /// Receives the objects that were read. They may be outdated, so the receiver orders them by
    /// version.
    using objects_hook = std::function<void(const std::vector<platform_object> &)>;

    object_watcher(event_loop &loop, platform_client &platform, counter_set &counters,
                   std::string kind, std::uint64_t seed, object_watcher_options options,
                   objects_hook onObjects);
    object_watcher(const object_watcher &) = delete;
    object_watcher &operator=(const object_watcher &) = delete;
    ~object_watcher();

    /// Called after every successful read, with changed and removed objects and whether the read
    /// lists all objects.
    using read_hook = std::function<void(const watch_result &read, bool isFullList)>;
    void setReadHook(read_hook onRead) { m_onRead = std::move(onRead); }
    /// Sets the hook that is called after every failed read.
    void setFailureHook(std::function<void(const error &)> onFailure)
    {
        m_onFailure = std::move(onFailure);
    }

    /// Starts reading, with one read of all objects.
    void start();
    /// Reads all objects again at once. The reply to a call in flight is ignored.
    void refresh();
    /// Sets whether this instance watches, or only reads every `idleReadInterval`.
    void setActive(bool active);
    bool active() const { return m_active; }

private:
    void startNextRead();
    void readAll();
    void watch();
    void onResult(std::uint64_t callNumber, const result<watch_result> &read, bool wasWatch);
    void scheduleNextRead(duration delay);
    duration jittered(duration d);

    event_loop &m_loop;
    platform_client &m_platform;
    counter &m_reads;
    counter &m_failures;
    std::string m_kind;
    random_source m_random;
    object_watcher_options m_options;
    objects_hook m_onObjects;
    read_hook m_onRead;
    std::function<void(const error &)> m_onFailure;

    bool m_started = false;
    bool m_active = false;
    bool m_listed = false;
    object_version m_nextRevision;
    duration m_backoff{};
    /// Number of the latest call. Replies to earlier calls are ignored.
    std::uint64_t m_callNumber = 0;
    bool m_inFlight = false;
    timer m_timer;
    std::shared_ptr<object_watcher *> m_self;
};

} // namespace peridotwheel

#endif
