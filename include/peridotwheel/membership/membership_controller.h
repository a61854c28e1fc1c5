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

/// Who has told this instance that a server is leaving.
enum class update_source {
    Direct, ///< The server itself or the platform's list.
    Peer,
};

/// All waits but `period` and the list intervals are counted in own periods that actually ran, so
/// that after a pause of the process nothing has expired.
struct membership_options
{
    /// One probe per period and instance.
    duration period = milliseconds(500);
    /// Every so many periods a member of another data centre, and one that is dead for us but still
    /// on the platform's list, are probed as well.
    unsigned remoteProbePeriods = 4;
    /// Periods from suspicion to death: this many per doubling of the fleet, the time in which news
    /// spreads through it, with room for lost messages. 12 periods for 9 instances, 39 for 5,300.
    unsigned suspicionPeriodsPerDoubling = 3;
    /// Periods for which a dead member stays in the view: longer than views can differ, so that
    /// connection shares grow only when no other instance still counts the member as live.
    unsigned deadHoldPeriods = 40;
    /// Periods for which a dead member is remembered, so that stale news cannot revive it.
    unsigned tombstonePeriods = 600;
    /// Messages that carry one update, per doubling of the fleet.
    unsigned transmitsPerDoubling = 3;
    /// Recent updates per message.
    std::size_t maxRecent = 32;
    /// Members that each message carries besides, in turn, to repair lost updates.
    std::size_t maxRepeated = 6;
    /// Interval of reading the platform's list, on the data centre's watchers and on others.
    duration watcherListInterval = seconds(1);
    duration otherListInterval = seconds(10);
    unsigned maxListBackoffSteps = 4;
};

/// Keeps the live view: probes peers, spreads news about them and about leaving servers, and reads
/// the platform's list. Writes `members` and `servers`.
///
/// State: the table, the directory and about 100 bytes of notes per member.
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
    /// Called when a leaving server was learned of, to spread it at once.
    void setLeavingServerHook(std::function<void(update_source)> hook)
    {
        m_onLeavingServer = std::move(hook);
    }

    const member &self() const { return m_self; }
    const membership_table &table() const { return m_table; }

    /// News about members for a message to \p target.
    std::vector<member> updatesFor(const instance_id &target);
    /// News about servers for a message within the data centre.
    std::vector<server_leaving> leavingServers();

    void merge(const std::vector<member> &updates);
    void merge(const std::vector<server_leaving> &runs);
    /// First sign of a leaving server, seen by this instance.
    void noteServerLeaving(const server_id &id, start_id start);
    /// This instance is leaving.
    void announceLeaving();

    /// Members to which a message may be sent now, of this or of the other data centres.
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
    /// Number of pauses of this process that were noticed; probes begun before one prove nothing.
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
