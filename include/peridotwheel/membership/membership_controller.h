#ifndef PERIDOTWHEEL_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H
#define PERIDOTWHEEL_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/membership/membership_table.h"
#include "peridotwheel/membership/server_directory.h"
#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <functional>
#include <optional>
#include <vector>

namespace peridotwheel {

/// From whom this instance learned that a server is leaving.
enum class update_source {
    Direct, ///< The server itself or the platform's list.
    Peer,
};

/// All times but `period` and the list intervals are counted in periods that this process actually
/// ran, so that nothing has expired after a pause of the process.
struct membership_options
{
    /// Interval at which an instance probes a random member of its data centre.
    duration period = milliseconds(500);
    /// Number of periods between probes of members of other data centres, and of members that are
    /// dead in this instance's table but still on the platform's list.
    unsigned remoteProbePeriods = 4;
    /// Periods from suspicion to death, per doubling of the fleet: the time in which gossip reaches
    /// the whole fleet, with a margin for lost messages. 12 periods for 9 instances, 39 for 5,300.
    unsigned suspicionPeriodsPerDoubling = 3;
    /// Periods for which a dead member stays in the published view: longer than the views of two
    /// instances can differ, so that connection shares grow only when no other instance still
    /// counts the member as alive.
    unsigned deadHoldPeriods = 40;
    /// Periods for which the record of a dead member is kept, so that stale updates cannot revive
    /// it.
    unsigned tombstonePeriods = 600;
    /// Number of messages that carry an update, per doubling of the fleet.
    unsigned transmitsPerDoubling = 3;
    /// Recent updates per message.
    std::size_t maxRecent = 32;
    /// Further members per message, in round-robin order, to repair lost updates.
    std::size_t maxRepeated = 6;
    /// Intervals at which the data centre's watchers and the other instances read the platform's
    /// list.
    duration watcherListInterval = seconds(1);
    duration otherListInterval = seconds(10);
    unsigned maxListBackoffSteps = 4;
};

/// Maintains the membership view: probes peers, gossips updates about them and about leaving
/// servers, and reads the platform's list. Writes the sections `members` and `servers`.
///
/// State: the table, the directory and about 100 bytes of local state per member.
class membership_controller
{
public:
    /// Sends one exchange to a member and reports whether that member itself answered.
    using probe_hook = std::function<void(const member &target, std::function<void(bool)> done)>;

    membership_controller(event_loop &loop, blackboard &board, platform_client &platform,
                          counter_set &counters, event_sink events, std::uint64_t seed, member self,
                          membership_options options = {});
    ~membership_controller();

    void start(probe_hook probe);
    /// Called when this instance learns of a leaving server, so that it is gossiped at once.
    void setLeavingServerHook(std::function<void(update_source)> hook)
    {
        m_onLeavingServer = std::move(hook);
    }

    const member &self() const { return m_self; }
    const membership_table &table() const { return m_table; }

    /// Returns updates about members for a message to \p target.
    std::vector<member> updatesFor(const instance_id &target);
    /// Returns leaving servers for a message within the data centre.
    std::vector<server_leaving> leavingServers();

    void merge(const std::vector<member> &updates);
    void merge(const std::vector<server_leaving> &runs);
    /// Records a leaving server that this instance has noticed itself.
    void noteServerLeaving(const server_id &id, start_id start);
    /// Marks this instance as leaving, for its own view and for its messages.
    void announceLeaving();

    /// Returns the other members that are not dead, of this data centre or of all others.
    std::vector<member> reachable(bool ownDataCentre) const;

private:
    struct local_state
    {
        bool listed = false;
        /// Period in which the state last changed.
        std::uint64_t changedPeriod = 0;
        /// Start that the platform's list has reported as leaving.
        std::optional<start_id> listedLeavingStart;
    };

    unsigned log2FleetSize() const;
    void tick();
    void scheduleTick();
    bool isTickOverdue() const;
    void expire();
    void sendProbes();
    void probeOne(const std::vector<const member *> &candidates);
    void onProbed(const member &target, std::uint64_t pauses, bool answered);
    bool apply(const member &update);
    void refute(const member &update);
    void queueForGossip(const instance_id &id);
    void schedulePublish();
    void publish();
    void logStateChange(const member &m);

    void readList();
    void applyLeaving(const std::vector<server_leaving> &runs, update_source source);
    void onList(const result<instance_list> &list);
    void addListed(const member &listed);

    event_loop &m_loop;
    blackboard &m_board;
    platform_client &m_platform;
    counter &m_probes;
    counter &m_probeFailures;
    counter &m_suspicions;
    counter &m_deaths;
    counter &m_pausesSeen;
    event_sink m_events;
    random_source m_random;
    member m_self;
    membership_options m_options;

    membership_table m_table;
    server_directory m_servers;
    std::map<instance_id, local_state> m_localStates;
    update_queue<instance_id> m_recent;
    instance_id m_cursor;
    probe_hook m_probe;
    std::function<void(update_source)> m_onLeavingServer;

    std::uint64_t m_period = 0;
    /// Number of detected pauses of this process. A failed probe that began before one is ignored.
    std::uint64_t m_pauses = 0;
    time_point m_tickDue{};
    bool m_publishPending = false;
    unsigned m_listFailures = 0;
    timer m_tickTimer;
    timer m_listTimer;
    std::shared_ptr<membership_controller *> m_this;
};

} // namespace peridotwheel

#endif
