#ifndef PERIDOTWHEEL_ENTRY_OPERATOR_SERVICE_H
#define PERIDOTWHEEL_ENTRY_OPERATOR_SERVICE_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/membership/member.h"

namespace peridotwheel {

class counter_set;
class event_ring;
struct blackboard;

/// The read-only pages of one instance for operators: `/operator/where`, `/operator/status`,
/// `/operator/counters` and `/operator/timeline`. `peridotctl` queries every instance and
/// merges the replies.
///
/// The pages show this instance's own state and its local view of other members.
class operator_service
{
public:
    operator_service(const blackboard &board, const counter_set &counters, const event_ring &events,
                     member self);

    http_reply handle(const http_request &request) const;

private:
    std::string wherePage() const;
    std::string statusPage() const;
    std::string countersPage() const;

    const blackboard &m_board;
    const counter_set &m_counters;
    const event_ring &m_events;
    member m_self;
};

} // namespace peridotwheel

#endif
