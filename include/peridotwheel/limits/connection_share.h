#ifndef PERIDOTWHEEL_LIMITS_CONNECTION_SHARE_H
#define PERIDOTWHEEL_LIMITS_CONNECTION_SHARE_H

#include "peridotwheel/membership/member.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace peridotwheel {

/// How near two data centres are; greater is nearer.
using nearness_hook = std::function<int(const data_centre_id &, const data_centre_id &)>;

/// 1 for the same data centre, 0 for others.
int sameDataCentreFirst(const data_centre_id &a, const data_centre_id &b);

/// Divides the connection limit of a server among the live instances.
///
/// The views of two instances may differ for a while. The sum of all shares stays within the limit
/// because a share shrinks as soon as a peer is seen and grows only after a peer has been absent
/// for longer than views can differ.
class connection_share
{
public:
    /// Views differ by at most a few probe periods and the lag of the platform's list.
    static constexpr duration defaultAbsenceHold = seconds(10);

    connection_share(instance_id self, time_point now, duration absenceHold = defaultAbsenceHold,
                     const data_centre_id &dataCentre = data_centre_id(),
                     nearness_hook nearness = &sameDataCentreFirst);

    /// Takes over the present view. Returns true if shares may have changed.
    bool updateMembers(const member_map &members, time_point now);
    /// Connections that this instance may hold to \p server. At least one if the limit suffices for
    /// all instances; otherwise the highest rendezvous weights get one each, those near the
    /// server's data centre \p at first: a call from elsewhere keeps the connection busy for
    /// longer.
    std::uint32_t operator()(const server_id &server, std::uint32_t connectionLimit,
                             const data_centre_id &serverDataCentre = data_centre_id()) const;
    /// Instances with a share of at least one by this view, in the order of preference.
    std::vector<instance_id>
    owners(const server_id &server, std::uint32_t connectionLimit,
           const data_centre_id &serverDataCentre = data_centre_id()) const;
    std::size_t instances() const { return m_countedInstances.size(); }

private:
    /// Orders the claims of instances to a server's connections; higher is served first.
    using preference = std::pair<int, std::uint64_t>;

    preference preferenceOf(const instance_id &id, const data_centre_id &dataCentre,
                            const server_id &server, const data_centre_id &serverDataCentre) const;

    instance_id m_self;
    duration m_absenceHold;
    nearness_hook m_nearness;
    time_point m_startedAt;
    /// False until another instance was seen or the hold time has passed since the start: a new
    /// instance with an empty view would otherwise take every connection.
    bool m_viewConfirmed = false;
    std::map<instance_id, data_centre_id> m_countedInstances;
    std::map<instance_id, time_point> m_absentSince;
};

} // namespace peridotwheel

#endif
