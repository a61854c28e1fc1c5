#ifndef PERIDOTWHEEL_LIB_BENCH_SLOPE_FLEET_H
#define PERIDOTWHEEL_LIB_BENCH_SLOPE_FLEET_H

#include "peridotwheel/peer/peer_gossip.h"
#include "peridotwheel/peer/peer_service.h"
#include "peridotwheel/support/manual_loop.h"
#include "slope_list.h"

#include <list>
#include <map>

namespace peridotwheel {

/// An object store in memory. Its list of instances is never answered.
class memory_platform : public platform_client
{
public:
    /// Without \p random it answers at the next turn of the loop; else each request and each reply
    /// takes a time drawn from 2 to 12 ms.
    explicit memory_platform(event_loop &loop, random_source *random = nullptr)
        : m_loop(loop)
        , m_random(random)
    {
    }
    void get(const object_key &key, hook<platform_object> done) override;
    void put(const object_key &key, const std::string &value, write_condition condition,
             hook<object_version> done) override;
    void remove(const object_key &key, object_version version, hook<void> done) override;
    void list(const std::string &kind, hook<watch_result> done) override;
    void watch(const std::string &, object_version, duration, hook<watch_result>) override {}
    void instances(hook<instance_list>) override {}

    std::uint64_t reads() const { return m_reads; }
    std::uint64_t writes() const { return m_writes; }
    /// Bytes of the stored values.
    std::size_t storedBytes() const;

private:
    void later(event_loop::task fn);

    event_loop &m_loop;
    random_source *m_random;
    std::list<timer> m_timers;
    std::map<std::pair<std::string, std::string>, platform_object> m_objects;
    std::uint64_t m_revision = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

/// Carries requests between nodes of one loop, or answers in place of peers that do not run. Other
/// requests time out.
class memory_network : public http_client
{
public:
    explicit memory_network(event_loop &loop)
        : m_loop(loop)
    {
    }
    void send(const endpoint &to, const http_request &request, duration timeout,
              outcome_hook done) override;

    /// Nodes that run.
    std::map<endpoint, request_hook> nodes;
    /// Bodies with which other peers answer.
    std::map<endpoint, std::string> bodies;
    double bytesSent = 0;
    double bytesReceived = 0;
    std::uint64_t messages = 0;

private:
    void after(duration delay, event_loop::task fn);

    event_loop &m_loop;
    std::map<std::uint64_t, timer> m_timers;
    std::uint64_t m_next = 0;
};

/// The control part of one instance.
struct fleet_node
{
    fleet_node(event_loop &l, memory_network &network, std::size_t index, std::uint64_t seed,
               const member &self);

    /// Makes \p count members known.
    void learn(std::size_t count, const std::function<member(std::size_t)> &memberOf = fleetMember);
    /// Discards news that wait for being sent.
    void forgetNews();

    blackboard board;
    counter_set counters;
    memory_platform platform;
    membership_controller membership;
    configuration_controller configuration;
    snapshot_controller snapshots;
    peer_gossip gossip;
    peer_service service;
};

} // namespace peridotwheel

#endif
