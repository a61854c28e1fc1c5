#ifndef PERIDOTWHEEL_LIMITS_CONNECTION_SHARE_H
#define PERIDOTWHEEL_LIMITS_CONNECTION_SHARE_H

#include "peridotwheel/membership/member.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace peridotwheel {

/// Returns the proximity of two data centres; greater is nearer.
using nearness_hook = std::function<int(const data_centre_id &, const data_centre_id &)>;

/// Returns 1 if both are the same data centre and 0 otherwise.
int sameDataCentreFirst(const data_centre_id &a, const data_centre_id &b);

/// Divides the connection limit of a server among the live instances.
///
/// The membership views of two instances may differ for a while. The sum of all shares stays within
/// the limit because a share shrinks as soon as a new peer is seen and grows only after a peer has
/// been absent for longer than views can differ.
class connection_share
{
public:
    /// Time for which an absent instance is still counted. Membership views differ for at most a
    /// few probe periods plus the lag of the platform's list.
    static constexpr duration defaultAbsenceHold = seconds(10);

    connection_share(instance_id self, time_point now, duration absenceHold = defaultAbsenceHold,
                     const data_centre_id &dataCentre = data_centre_id(),
                     nearness_hook nearness = &sameDataCentreFirst);

    /// Updates the counted instances from the membership view \p members. Returns true if shares
    /// may have changed.
    bool updateMembers(const member_map &members, time_point now);
    /// Returns the number of connections that this instance may hold to \p server. It is at least
    /// one if the limit suffices for all instances. Otherwise the instances nearest to \p
    /// serverDataCentre get one each, since a call from another data centre keeps the connection
    /// busy for longer; among equally near ones the highest rendezvous weights do.
    std::uint32_t operator()(const server_id &server, std::uint32_t connectionLimit,
                             const data_centre_id &serverDataCentre = data_centre_id()) const;
    /// Returns the instances that have a share of at least one according to this view, in the order
    /// of preference.
    std::vector<instance_id>
    owners(const server_id &server, std::uint32_t connectionLimit,
           const data_centre_id &serverDataCentre = data_centre_id()) const;
    std::size_t instances() const { return m_countedInstances.size(); }

private:
    /// Proximity and rendezvous weight of an instance. Instances with a higher preference get a
    /// server's connections first.
    using preference = std::pair<int, std::uint64_t>;

    preference preferenceOf(const instance_id &id, const data_centre_id &dataCentre,
                            const server_id &server, const data_centre_id &serverDataCentre) const;
    /// Returns whether fewer than \p limit instances are preferred to this one for a connection to
    /// \p server. Nearer instances are preferred unless \p serverDataCentre is empty.
    bool isAmongPreferred(std::uint32_t limit, const server_id &server,
                          const data_centre_id &serverDataCentre) const;
    void groupByDataCentre();

    instance_id m_self;
    duration m_absenceHold;
    nearness_hook m_nearness;
    time_point m_startedAt;
    /// False until another instance has been seen or the hold time has passed since the start.
    /// Without it, a new instance with an empty view would take every connection.
    bool m_viewConfirmed = false;
    std::map<instance_id, data_centre_id> m_countedInstances;
    /// The counted instances by data centre. Shares of all servers are computed anew when an
    /// instance comes or goes, so that proximity is looked up once for each data centre.
    std::map<data_centre_id, std::vector<instance_id>> m_byDataCentre;
    std::map<instance_id, time_point> m_absentSince;
};

} // namespace peridotwheel

#endif
