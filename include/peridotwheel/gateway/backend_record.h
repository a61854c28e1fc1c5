#ifndef PERIDOTWHEEL_GATEWAY_BACKEND_RECORD_H
#define PERIDOTWHEEL_GATEWAY_BACKEND_RECORD_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/strong_id.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace peridotwheel {

/// Number of a server's report on itself; rises from report to report of one run.
using report_number = strong_id<struct report_number_tag, std::uint64_t>;

/// A backend server as described by its entry in the store.
struct backend_record
{
    server_id id;
    /// Differs between two runs of a server under the same id.
    start_id start;
    service_name service;
    endpoint address;
    data_centre_id dataCentre;
    /// Number of requests that the server works on concurrently.
    std::uint32_t slots = 1;
    /// The server is about to shut down and gets no new requests.
    bool draining = false;
    /// Remaining time for which the server is slow after its start.
    duration coldRemaining{};
    /// Report that the entry holds; differs between entries that are otherwise equal.
    report_number report;

    friend bool operator==(const backend_record &a, const backend_record &b)
    {
        return a.id == b.id && a.start == b.start && a.service == b.service &&
               a.address == b.address && a.dataCentre == b.dataCentre && a.slots == b.slots &&
               a.draining == b.draining && a.coldRemaining == b.coldRemaining;
    }
    friend bool operator!=(const backend_record &a, const backend_record &b) { return !(a == b); }
};

/// Returns whether \p entry is what a server reported before \p known. A later run replaces an
/// earlier one, and a run that is about to shut down stays so.
inline bool isEarlierReport(const backend_record &entry, const backend_record &known)
{
    if (entry.start != known.start)
        return entry.start < known.start;
    if (entry.draining != known.draining)
        return known.draining;
    return entry.report < known.report;
}

using backend_map = std::map<server_id, backend_record>;

} // namespace peridotwheel

#endif
