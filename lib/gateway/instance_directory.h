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

/// Kind of the store objects that represent instances.
constexpr const char *instanceKind = "instances";

/// The instances that share the limits of servers, each represented by one object in the store that
/// it writes at its start and removes at its end.
///
/// The object of an instance that crashed stays until another instance removes it. The shares of
/// the others are smaller meanwhile, so every limit still holds. An instance whose object was
/// removed while it was running registers again. After the store's return from an earlier copy, the
/// members that are missing from the copy count until they had time to register again, so that the
/// shares of the others do not grow meanwhile.
class instance_directory
{
public:
    /// \p onMembers is called with all members, this one included, after each list that was read
    /// from the store or taken over from another instance.
    instance_directory(event_loop &loop, platform_client &store, decision_log &log, member self,
                       std::uint64_t seed, std::function<void(const member_map &)> onMembers);
    instance_directory(const instance_directory &) = delete;
    instance_directory &operator=(const instance_directory &) = delete;
    ~instance_directory();

    /// When the list of instances is first read from the store.
    enum class initial_read {
        Immediate,
        Delayed, ///< All start together: read, for the others too, once most have registered.
        IfNoPeerResponds, ///< Other instances read; read only if none of them supplies the list.
    };
    /// Registers this instance and schedules the first read as \p when says.
    void start(initial_read when);
    /// Starts or stops periodic reads of the store; while stopped, other instances supply the list.
    void setReading(bool reading);
    /// Takes over the list that another instance has read, if it is newer.
    void merge(const std::vector<platform_object> &objects, object_version revision);
    /// Reads the store soon if this instance reads it and the list here is from an earlier era.
    void onStoreReturned(store_era era);
    /// Reads the store soon if this instance reads it and the list here is older than \p entry, the
    /// entry of another instance.
    void onEntryKnown(object_version entry);
    /// Position of this instance's own entry, if it was written by this process.
    const std::optional<object_version> &ownVersion() const { return m_ownVersion; }
    const std::vector<platform_object> &objects() const { return m_objects; }
    object_version revision() const { return m_revision; }
    /// Revision of the last list that differed from the one before.
    object_version lastChangeRevision() const { return m_lastChangeRevision; }
    /// Removes this instance's object. A failure is logged but not retried.
    void deregister();
    /// Removes the object of another instance that no longer answers.
    void removeLost(const instance_id &id);
    const member &self() const { return m_self; }
    const member_map &members() const { return m_members; }
    /// Whether the last list has this instance's own entry.
    bool isListed() const { return m_isListed; }
    /// Whether a list has been received, from the store or from another instance.
    bool hasBeenRead() const { return m_hasBeenRead; }

private:
    void registerSelf();
    /// Time over which the registrations of all instances are spread.
    duration registrationTime() const;
    /// Registers again after a delay that keeps the writes of all instances below a rate.
    void scheduleRegistration();
    void keepUnlistedMembers(const member_map &former);
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
    bool m_isListed = false;
    /// Whether the first registration is followed by a read of the list.
    bool m_readsWhenRegistered = false;
    bool m_isDeregistered = false;
    bool m_reading = false;
    bool m_isSecondReadDue = true;
    /// Latest era whose list was requested because of the store's return.
    store_era m_requestedEra;
    /// No list is read before because of a new entry.
    time_point m_nextEntryRead{};
    /// Members that are not listed are kept until then.
    time_point m_keepUnlistedUntil{};
    std::optional<object_version> m_ownVersion;
    timer m_registrationTimer;
    timer m_readTimer;
    timer m_ownReadTimer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
