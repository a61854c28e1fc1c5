#ifndef PERIDOTWHEEL_QUERY_ANSWER_VERDICT_H
#define PERIDOTWHEEL_QUERY_ANSWER_VERDICT_H

#include "peridotwheel/query/query.h"

namespace peridotwheel {

/// What the engine has established about a query at the time of its answer.
struct query_facts
{
    bool isRepeatable = true;
    /// Lowest share of answered shards at which an answer is a partial one.
    double coverageTarget = 1;
    bool isAtDeadline = false;
    bool anySent = false;
    bool ranSomewhere = false;
    /// An attempt was sent that may have run, and a full reply to it has not arrived or will not
    /// arrive.
    bool anyOutcomeUnknown = false;
};

/// Sets the kind, `ran` and the detail of \p answer, whose coverage is known. Sets `ran` to No only
/// if it is certain that the request ran nowhere.
void classifyAnswer(query_answer &answer, const query_facts &facts);

} // namespace peridotwheel

#endif
