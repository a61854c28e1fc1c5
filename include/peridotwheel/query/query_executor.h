#ifndef PERIDOTWHEEL_QUERY_QUERY_EXECUTOR_H
#define PERIDOTWHEEL_QUERY_QUERY_EXECUTOR_H

#include "peridotwheel/query/query.h"

namespace peridotwheel {

/// Runs admitted queries. The scatter engine implements it; admission, the caller service and tests
/// depend on this interface only.
class query_executor
{
public:
    query_executor() = default;
    query_executor(const query_executor &) = delete;
    query_executor &operator=(const query_executor &) = delete;
    virtual ~query_executor() = default;

    /// Runs \p request and calls \p done exactly once, at the latest shortly after the deadline,
    /// never from within `run`.
    virtual void run(query_request request, answer_hook done) = 0;
};

} // namespace peridotwheel

#endif
