#ifndef PERIDOTWHEEL_GATEWAY_BACKEND_RECORD_H
#define PERIDOTWHEEL_GATEWAY_BACKEND_RECORD_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace peridotwheel {

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

    friend bool operator==(const backend_record &a, const backend_record &b)
    {
        return a.id == b.id && a.start == b.start && a.service == b.service &&
               a.address == b.address && a.dataCentre == b.dataCentre && a.slots == b.slots &&
               a.draining == b.draining && a.coldRemaining == b.coldRemaining;
    }
    friend bool operator!=(const backend_record &a, const backend_record &b) { return !(a == b); }
};

using backend_map = std::map<server_id, backend_record>;

} // namespace peridotwheel

#endif
