#ifndef PERIDOTWHEEL_QUERY_ANSWER_VERDICT_H
#define PERIDOTWHEEL_QUERY_ANSWER_VERDICT_H

#include "peridotwheel/query/query.h"

namespace peridotwheel {

/// What is known of a query when its answer is due.
struct query_facts
{
    bool isRepeatable = true;
    /// Least share of the shards for a partial answer.
    double coverageTarget = 1;
    bool isAtDeadline = false;
    bool anySent = false;
    bool ranSomewhere = false;
    /// Something was sent of which no full reply has come or will come.
    bool anyOutcomeUnknown = false;
};

/// Sets kind, `ran` and detail of \p answer, whose coverage is known. Says "not run" only if that
/// is certain.
void classifyAnswer(query_answer &answer, const query_facts &facts);

} // namespace peridotwheel

#endif
