#ifndef PERIDOTWHEEL_RELAY_RELAY_SERVICE_H
#define PERIDOTWHEEL_RELAY_RELAY_SERVICE_H

#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/http/http_server.h"
#include "peridotwheel/query/query_executor.h"
#include "peridotwheel/relay/connection_directory.h"
#include "peridotwheel/relay/relay_message.h"
#include "peridotwheel/support/event_loop.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace peridotwheel {

/// The owner's side of relaying: runs parts of other instances' queries on the local engine, under
/// the same limits per server as the instance's own queries. A part is never relayed again: shards
/// and services for which this instance has no connection are answered as not owned.
class relay_service
{
public:
    relay_service(event_loop &loop, const blackboard &board, query_executor &local,
                  relay_hooks hooks, counter_set &counters);
    /// Leaves the parts in progress unanswered.
    ~relay_service();
    relay_service(const relay_service &) = delete;
    relay_service &operator=(const relay_service &) = delete;

    static bool handles(const std::string &path);
    void handle(const http_request &request, const std::shared_ptr<http_responder> &responder);
    std::size_t inProgress() const { return m_running.size(); }

private:
    struct split_part;

    void onQuery(const http_request &request, const std::shared_ptr<http_responder> &responder);
    void onCancel(const http_request &request, const std::shared_ptr<http_responder> &responder);
    split_part split(const query_request &request);
    enum class ownership { Usable, Suspect, None };
    ownership ownershipOf(const std::vector<server_id> &replicas);
    ownership ownershipOf(const service_name &plain);
    void probe(const query_request &request, const std::vector<shard_id> &shards);
    void finish(const relay_key &key, const split_part &part, query_answer answer,
                http_responder &responder);
    void reply(std::uint64_t id, const split_part &part, query_answer answer,
               http_responder &responder);

    event_loop &m_loop;
    const blackboard &m_board;
    query_executor &m_local;
    connection_directory m_directory;
    counter &m_answered;
    counter &m_notOwned;
    counter &m_cancelled;
    counter &m_malformed;
    counter &m_probes;
    std::map<relay_key, std::shared_ptr<query_cancellation>> m_running;
    std::unordered_map<shard_id, time_point> m_lastProbeAt;
    std::shared_ptr<relay_service *> m_this;
};

} // namespace peridotwheel

#endif
