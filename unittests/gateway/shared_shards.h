#ifndef PERIDOTWHEEL_UNITTESTS_GATEWAY_SHARED_SHARDS_H
#define PERIDOTWHEEL_UNITTESTS_GATEWAY_SHARED_SHARDS_H

#include "lib/gateway/admission_share.h"
#include "lib/gateway/work_estimate.h"
#include "peridotwheel/gateway/server_health.h"
#include "peridotwheel/support/manual_loop.h"
#include "peridotwheel/support/random_source.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace peridotwheel {

/// A class of queries in the simulation.
struct simulated_class
{
    class_rank rank;
    double workMs = 20;
    duration target = milliseconds(200);
    /// Share of the queries.
    double share = 1;
};

/// Parameters of the simulation.
struct shards_spec
{
    int instances = 7;
    int shards = 10;
    int replicas = 3;
    unsigned slots = 3;
    std::vector<simulated_class> classes;
    /// Standard deviation of the logarithm of the service time.
    double spread = 0.35;
    /// Share of the service times that are five times longer.
    double tail = 0.01;
    /// Whether all parts of a query share one random service time; otherwise each part has its own.
    bool variesByQuery = true;
    /// Whether servers differ in speed, pause, and are slow from time to time.
    bool hasUnevenServers = false;
    /// Teams that offer equal shares of the queries unless one is hot; 0 for queries without a
    /// team.
    int teams = 0;
    /// Number of instances to which the callers of a team are connected.
    int instancesPerTeam = 2;
};

/// A server that runs up to `slots` parts concurrently, queues six times as many in FIFO order and
/// rejects the rest.
class simulated_server
{
public:
    using done_fn = std::function<void(bool accepted)>;

    simulated_server(manual_loop &loop, unsigned slots, double speed, duration pauseOffset)
        : m_loop(loop)
        , m_slots(slots)
        , m_speed(speed)
        , m_pauseOffset(pauseOffset)
    {
    }

    void serve(duration work, done_fn done);
    void setSlowness(double slowness) { m_slowness = slowness; }
    void setPauses(bool pauses) { m_pauses = pauses; }

private:
    struct job
    {
        duration work;
        done_fn done;
    };

    void startNext();
    duration timeFor(duration work) const;

    manual_loop &m_loop;
    unsigned m_slots;
    double m_speed;
    duration m_pauseOffset;
    double m_slowness = 1;
    bool m_pauses = false;
    unsigned m_working = 0;
    std::deque<job> m_queue;
    std::list<timer> m_timers;
};

struct simulated_counts
{
    int offered = 0;
    int inTarget = 0;
    int late = 0;
    int refused = 0;
    /// Not answered because shards were full.
    int failed = 0;
};

/// Several instances that place the parts of their queries on shared shards, each with the
/// admission control, the placement and the measurements of a gateway, without a network.
class shared_shards
{
public:
    explicit shared_shards(shards_spec spec, std::uint64_t seed = 7);
    ~shared_shards();

    /// Offers queries at random for \p length, at \p load times the capacity of the shards.
    void play(double load, duration length);
    /// Ends all queries in flight.
    void finish();
    void resetCounts();
    /// Makes the first team offer \p factor times as many queries, in addition to the load.
    void setHotTeam(double factor) { m_hotTeam = factor; }
    /// Returns the counts of each team.
    const std::vector<simulated_counts> &teamCounts() const { return m_teamCounts; }
    /// Makes a share of the servers slower by \p factor.
    void slowDown(double share, double factor);

    simulated_counts counts(class_rank rank) const;
    simulated_counts total() const;
    double refusedShare() const;
    /// Returns the work that was answered in time, as a share of the capacity in \p length.
    double usefulShare(duration length) const;
    double lowestShare() const;

private:
    struct instance;
    struct query;

    double capacity() const;
    double drawFactor();
    void advance();
    void offer(const simulated_class &c);
    void offer(const simulated_class &c, instance &at, int team);
    simulated_counts &countsOf(int team);
    void send(const std::shared_ptr<query> &q, std::size_t shard, int excluded);
    void end(const std::shared_ptr<query> &q);
    query_progress progress(const query &q) const;

    shards_spec m_spec;
    manual_loop m_loop;
    random_source m_random;
    std::vector<std::vector<std::unique_ptr<simulated_server>>> m_servers;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::list<std::shared_ptr<query>> m_running;
    std::map<class_rank, simulated_counts> m_counts;
    std::vector<simulated_counts> m_teamCounts;
    /// Instances to which the callers of each team are connected.
    std::vector<std::vector<std::size_t>> m_homesOfTeams;
    double m_hotTeam = 1;
    std::uint64_t m_queries = 0;
    unsigned m_ticks = 0;
};

} // namespace peridotwheel

#endif
