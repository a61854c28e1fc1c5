#ifndef PERIDOTWHEEL_LIB_GATEWAY_INSTANCE_DIRECTORY_H
#define PERIDOTWHEEL_LIB_GATEWAY_INSTANCE_DIRECTORY_H

#include "peridotwheel/membership/member.h"
#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace peridotwheel {

class decision_log;

/// Kind of the objects in the store.
constexpr const char *instanceKind = "instances";

/// The instances that share the limits of servers, each as one object in the store that it writes
/// at its start and removes at its end.
///
/// The object of an instance that was lost stays until another one removes it. Shares are smaller
/// meanwhile, which keeps every bound. An instance whose object was removed while it lived enters
/// again.
class instance_directory
{
public:
    /// \p onMembers is called with all members, this one included, after each successful read.
    instance_directory(event_loop &loop, platform_client &store, decision_log &log, member self,
                       std::uint64_t seed, std::function<void(const member_map &)> onMembers);
    instance_directory(const instance_directory &) = delete;
    instance_directory &operator=(const instance_directory &) = delete;
    ~instance_directory();

    /// When the others are read first.
    enum class initial_read {
        Immediate,
        Delayed,          ///< All start together: once most have entered, for those that wait.
        IfNoPeerResponds, ///< Others read; only if this instance hears of nobody.
    };
    /// Enters the directory and begins to read it.
    void start(initial_read when);
    /// Whether this instance reads the store now and then, or leaves that to others.
    void setReading(bool reading);
    /// Takes over what another instance has read, if it is newer.
    void merge(const std::vector<platform_object> &objects, object_version revision);
    const std::vector<platform_object> &objects() const { return m_objects; }
    object_version revision() const { return m_revision; }
    /// Revision of the last read that brought a change.
    object_version lastChangeRevision() const { return m_lastChangeRevision; }
    /// Removes the own object; nothing follows if that fails.
    void deregister();
    /// Removes the object of an instance that is gone for good.
    void removeLost(const instance_id &id);
    const member &self() const { return m_self; }
    const member_map &members() const { return m_members; }
    /// Whether the store has been read at least once.
    bool hasBeenRead() const { return m_hasBeenRead; }

private:
    void registerSelf();
    void onRegistered(const result<object_version> &written);
    void readAll();
    void onRead(const result<watch_result> &read);
    void applyList(const std::vector<platform_object> &objects, object_version revision);
    void scheduleRead();
    void scheduleWithJitter(duration delay, event_loop::task next, timer &slot);

    event_loop &m_loop;
    platform_client &m_store;
    decision_log &m_log;
    member m_self;
    random_source m_random;
    std::function<void(const member_map &)> m_onMembers;
    member_map m_members;
    std::vector<platform_object> m_objects;
    object_version m_revision;
    object_version m_lastChangeRevision;
    bool m_hasBeenRead = false;
    bool m_isDeregistered = false;
    bool m_reading = false;
    bool m_isSecondReadDue = true;
    std::optional<object_version> m_ownVersion;
    timer m_registrationTimer;
    timer m_readTimer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
