#ifndef PERIDOTWHEEL_LIB_BENCH_SLOPE_LIST_H
#define PERIDOTWHEEL_LIB_BENCH_SLOPE_LIST_H

#include "peridotwheel/bench/cpu_meter.h"
#include "peridotwheel/bench/slope.h"
#include "peridotwheel/membership/member.h"

namespace peridotwheel {

void addQuerySlopes(std::vector<slope> &list);
void addServerSlopes(std::vector<slope> &list);
void addMembershipSlopes(std::vector<slope> &list);
void addConfigurationSlopes(std::vector<slope> &list);
void addAdmissionSlopes(std::vector<slope> &list);
void addClaimSlopes(std::vector<slope> &list);
void addTailSlopes(std::vector<slope> &list);

/// Measures \p measure at each of \p sizes.
std::vector<slope_point> pointsAt(const std::vector<std::size_t> &sizes,
                                  const std::function<double(std::size_t)> &measure);

/// Processor time of this thread in \p work, in microseconds.
double cpuMicroseconds(const std::function<void()> &work);

/// Bytes that the process has allocated and not freed.
double heapBytes();

/// Instance and server number \p i of a fleet in ten data centres, with ids and addresses as long
/// as those of a real one.
member fleetMember(std::size_t i);
server_record fleetServer(std::size_t i);

/// Request line or status line, headers and body, as evhttp sends them.
double wireBytes(const http_request &request);
double wireBytes(const http_reply &reply);

} // namespace peridotwheel

#endif
