#ifndef PERIDOTWHEEL_BENCH_CLASS_TALLY_H
#define PERIDOTWHEEL_BENCH_CLASS_TALLY_H

#include "peridotwheel/bench/latency_histogram.h"
#include "peridotwheel/configuration/class_spec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotwheel {

/// What one reply meant, as a caller sees it.
struct observed_reply
{
    duration latency{};
    bool answered = false;      ///< Carries results, complete or partial.
    bool refusedNotRun = false; ///< States that nothing ran.
    bool unknown = false;       ///< No reply, or one that does not say whether it ran.
    double coverage = 0.0;      ///< Share of the shards.
};

/// Counts of one class over one run, and useful answers by time for the plots.
struct class_tally
{
    static constexpr duration binWidth = milliseconds(250);

    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t unknown = 0;
    double coverageSum = 0.0;
    latency_histogram latencies; ///< Of answered requests.
    /// By the time of the answer: work that is queued in one bin and done in another must not count
    /// as capacity of the first.
    std::vector<std::uint64_t> usefulByBin;
    std::vector<std::uint64_t> sentByBin;

    /// \p sinceStart is the intended send time relative to the start of the run.
    void record(const class_spec &spec, duration sinceStart, const observed_reply &reply);
    void merge(const class_tally &other);
    /// Over all requests but those refused as not run; one without an answer covers nothing.
    double meanCoverage() const;
    /// Share of the requests sent that were answered within target.
    double inTargetShare() const;
};

using class_tallies = std::map<class_name, class_tally>;

/// Counts of broken promises by name, for example "mixed_version". Empty is good.
using violation_counts = std::map<std::string, std::uint64_t>;

} // namespace peridotwheel

#endif
