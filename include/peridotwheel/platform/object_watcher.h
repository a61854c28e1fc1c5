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
    /// How long one watch waits at the platform.
    duration watchWait = seconds(20);
    /// Delay before a failed read is repeated; doubles up to the second value, or up to
    /// `idleReadInterval` on an instance that does not watch. Each delay is randomised by half, so
    /// that instances do not return in step after an outage.
    duration retryFirst = milliseconds(200);
    duration retryMax = seconds(5);
    /// How often an instance that does not watch reads the kind nevertheless, in case every watcher
    /// of its data centre is cut off. 5,300 instances then cause 177 reads/s.
    duration idleReadInterval = seconds(30);
    /// Pause between two watches, which bounds the calls caused by a platform that answers at once.
    duration pauseBetweenWatches = milliseconds(50);
};

/// Reads all objects of one kind, and watches them while active.
///
/// State: the hook and a few words, independent of the number of objects.
class object_watcher
{
public:
    /// Gets the objects that were read, current or not: the receiver orders them by version.
    using objects_hook = std::function<void(const std::vector<platform_object> &)>;

    object_watcher(event_loop &loop, platform_client &platform, counter_set &counters,
                   std::string kind, std::uint64_t seed, object_watcher_options options,
                   objects_hook onObjects);
    object_watcher(const object_watcher &) = delete;
    object_watcher &operator=(const object_watcher &) = delete;
    ~object_watcher();

    /// Told of every successful read, with what was removed, and of whether it lists all objects.
    using read_hook = std::function<void(const watch_result &read, bool isFullList)>;
    void setReadHook(read_hook onRead) { m_onRead = std::move(onRead); }
    /// Told of every read that failed.
    void setFailureHook(std::function<void(const error &)> onFailure)
    {
        m_onFailure = std::move(onFailure);
    }

    /// Starts with one read of all objects.
    void start();
    /// Reads all objects again at once; a call in flight is given up.
    void refresh();
    /// Whether this instance watches, or only reads now and then.
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
    /// Number of the call in flight; replies to earlier ones are ignored as far as control goes.
    std::uint64_t m_callNumber = 0;
    bool m_inFlight = false;
    timer m_timer;
    std::shared_ptr<object_watcher *> m_self;
};

} // namespace peridotwheel

#endif
