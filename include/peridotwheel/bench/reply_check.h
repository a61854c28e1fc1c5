#ifndef PERIDOTWHEEL_BENCH_REPLY_CHECK_H
#define PERIDOTWHEEL_BENCH_REPLY_CHECK_H

#include "peridotwheel/bench/class_tally.h"
#include "peridotwheel/http/http_connection.h"

#include <string>

namespace peridotwheel {

/// What the checker must find in a reply.
struct expected_reply
{
    std::string requestId;
    std::string queryText;
    bool repeatable = true;
    bool sharded = true;
};

/// Reads a reply as a caller would and compares what it claims with what it carries: one index
/// version, coverage as stated, results of this very query. Adds what is broken to \p violations.
observed_reply checkReply(const expected_reply &expected, const http_outcome &outcome,
                          violation_counts &violations);

} // namespace peridotwheel

#endif
