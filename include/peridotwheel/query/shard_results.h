#ifndef PERIDOTWHEEL_QUERY_SHARD_RESULTS_H
#define PERIDOTWHEEL_QUERY_SHARD_RESULTS_H

#include "peridotwheel/query/query.h"

#include <cstddef>
#include <string>
#include <vector>

namespace peridotwheel {

/// Returns the coverage of \p answered among \p asked; both must be ascending without duplicates.
coverage coverageOf(const std::vector<shard_id> &asked, const std::vector<shard_id> &answered);

/// The results of one query by shard. Only the first result of a shard is accepted.
class shard_results
{
public:
    /// \p asked must be ascending without duplicates.
    explicit shard_results(std::vector<shard_id> asked);

    bool has(shard_id shard) const;
    /// Adds the result of \p shard. Returns false if the shard was not asked for or already has a
    /// result, or if \p json is empty.
    bool addResult(shard_id shard, std::string json);
    bool complete() const { return m_answered == m_asked.size(); }
    std::size_t answered() const { return m_answered; }
    /// Moves the results out, ascending by shard.
    std::vector<shard_result> takeAll();
    coverage covered() const;

private:
    /// Returns the index of \p shard in the list of asked shards, or the size of the list if the
    /// shard was not asked for.
    std::size_t indexOf(shard_id shard) const;

    std::vector<shard_id> m_asked;
    std::vector<std::string> m_results; // by index in m_asked; empty if missing
    std::size_t m_answered = 0;
};

} // namespace peridotwheel

#endif
