#include "peridotwheel/bench/class_tally.h"

namespace peridotwheel {

namespace {

void addToBin(std::vector<std::uint64_t> &bins, std::size_t index, std::uint64_t n)
{
    if (bins.size() <= index)
        bins.resize(index + 1);
    bins[index] += n;
}

} // namespace

void class_tally::record(const class_spec &spec, duration sinceStart, const observed_reply &reply)
{
    const auto bin = static_cast<std::size_t>(sinceStart / binWidth);
    ++sent;
    addToBin(sentByBin, bin, 1);
    refusedNotRun += reply.refusedNotRun ? 1 : 0;
    unknown += reply.unknown ? 1 : 0;
    coverageSum += reply.coverage;
    if (!reply.answered)
        return;
    ++answered;
    latencies.add(reply.latency);
    const bool inTime = reply.latency <= spec.latencyTarget;
    if (!inTime || reply.coverage < spec.coverageTarget)
        return;
    ++inTarget;
    const auto answeredBin = static_cast<std::size_t>((sinceStart + reply.latency) / binWidth);
    addToBin(usefulByBin, answeredBin, 1);
}

void class_tally::merge(const class_tally &other)
{
    sent += other.sent;
    answered += other.answered;
    inTarget += other.inTarget;
    refusedNotRun += other.refusedNotRun;
    unknown += other.unknown;
    coverageSum += other.coverageSum;
    latencies.merge(other.latencies);
    for (std::size_t i = 0; i < other.usefulByBin.size(); ++i)
        addToBin(usefulByBin, i, other.usefulByBin[i]);
    for (std::size_t i = 0; i < other.sentByBin.size(); ++i)
        addToBin(sentByBin, i, other.sentByBin[i]);
}

double class_tally::meanCoverage() const
{
    const std::uint64_t ran = sent - refusedNotRun;
    return ran == 0 ? 0.0 : coverageSum / static_cast<double>(ran);
}

double class_tally::inTargetShare() const
{
    return sent == 0 ? 0.0 : static_cast<double>(inTarget) / static_cast<double>(sent);
}

} // namespace peridotwheel
