#include "peridotwheel/bench/experiment_report.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using json = nlohmann::ordered_json;

std::string formatted(const char *format, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, format, value);
    return text;
}

json tallyJson(const class_tally &tally)
{
    return {{"sent", tally.sent},
            {"in_target", tally.inTarget},
            {"refused_not_run", tally.refusedNotRun},
            {"unknown", tally.unknown},
            {"p50_ms", tally.latencies.quantileMs(0.5)},
            {"p99_ms", tally.latencies.quantileMs(0.99)},
            {"p999_ms", tally.latencies.quantileMs(0.999)},
            {"coverage", tally.meanCoverage()},
            {"useful_by_bin", tally.usefulByBin},
            {"sent_by_bin", tally.sentByBin}};
}

json reportJson(const experiment_report &report)
{
    json out = {{"experiment", report.experiment}, {"seed", report.seed},
                {"seconds", report.seconds},       {"capacity_qps", report.capacityQps},
                {"useful_qps", report.usefulQps},  {"machine_idle", report.machineIdle}};
    json classes = json::object();
    for (const auto &[name, tally] : report.classes)
        classes[name.value()] = tallyJson(tally);
    out["classes"] = classes;
    out["extra_load"] = report.extraLoad;
    out["violations"] = report.violations;
    json bounds = json::array();
    for (const auto &b : report.bounds)
        bounds.push_back(
                {{"name", b.name}, {"bound", b.bound}, {"value", b.value}, {"met", b.met}});
    out["bounds"] = bounds;
    if (report.baseline)
        out["baseline"] = reportJson(*report.baseline);
    return out;
}

} // namespace

bound_check bound_check::atLeast(std::string name, double bound, double value)
{
    return {std::move(name), ">= " + formatted("%g", bound), value, value >= bound};
}

bound_check bound_check::atMost(std::string name, double bound, double value)
{
    return {std::move(name), "<= " + formatted("%g", bound), value, value <= bound};
}

bool experiment_report::allMet() const
{
    return std::all_of(bounds.begin(), bounds.end(), [](const bound_check &b) { return b.met; });
}

std::string toJson(const experiment_report &report)
{
    return reportJson(report).dump(2);
}

std::string toText(const experiment_report &report)
{
    std::string out = report.experiment + " seed " + std::to_string(report.seed) + "  capacity " +
                      formatted("%.0f", report.capacityQps) + "/s  useful " +
                      formatted("%.0f", report.usefulQps) + "/s  extra server requests " +
                      formatted("%.2f%%", 100 * report.extraLoad) + "  idle cores " +
                      formatted("%.0f%%", 100 * report.machineIdle) + "\n";
    char line[200];
    std::snprintf(line, sizeof line, "%-10s %8s %9s %8s %8s %8s %8s %8s %9s\n", "class", "sent",
                  "in target", "refused", "unknown", "p50 ms", "p99 ms", "p99.9 ms", "coverage");
    out += line;
    for (const auto &[name, t] : report.classes) {
        std::snprintf(line, sizeof line,
                      "%-10s %8llu %8.2f%% %8llu %8llu %8.1f %8.1f %8.1f %8.2f%%\n",
                      name.value().c_str(), static_cast<unsigned long long>(t.sent),
                      100 * t.inTargetShare(), static_cast<unsigned long long>(t.refusedNotRun),
                      static_cast<unsigned long long>(t.unknown), t.latencies.quantileMs(0.5),
                      t.latencies.quantileMs(0.99), t.latencies.quantileMs(0.999),
                      100 * t.meanCoverage());
        out += line;
    }
    for (const auto &[name, count] : report.violations)
        out += "violation " + name + ": " + std::to_string(count) + "\n";
    for (const auto &b : report.bounds) {
        out += std::string(b.met ? "met    " : "MISSED ") + b.name + " " + b.bound + ": " +
               formatted("%.5g", b.value) + "\n";
    }
    if (report.baseline)
        out += "baseline: " + toText(*report.baseline);
    return out;
}

} // namespace peridotwheel
