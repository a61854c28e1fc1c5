#ifndef PERIDOTWHEEL_CTL_FLEET_DIRECTORY_H
#define PERIDOTWHEEL_CTL_FLEET_DIRECTORY_H

#include "peridotwheel/ctl/fleet_client.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

/// An instance and who knows of it.
struct listed_instance
{
    member instance;
    /// Empty if the platform's list could not be read.
    std::optional<bool> onPlatformList;
    /// What a peer believes of it, for example "alive"; empty if no peer that was asked knows it.
    std::string peersSay;

    /// True if nobody expects the instance to answer: it has left the platform's list and the
    /// peers take it for gone.
    bool gone() const;
    bool offPlatformList() const { return onPlatformList && !*onPlatformList; }
};

/// The page of a listed instance.
struct listed_page : instance_page
{
    listed_instance listed;
};

struct fleet_list
{
    std::map<instance_id, listed_instance> instances;
    /// Why the platform's list is missing; then the instances are those that peers know of.
    std::optional<error> platformProblem;
};

/// Finds the instances of the fleet: those on the platform's list, which lags, and those that some
/// instances of each data centre know of.
class fleet_directory
{
public:
    fleet_directory(fleet_client &fleet, std::vector<endpoint> fallback);

    /// Error: as `platform_client`, if the fallback addresses do not answer either.
    result<fleet_list> read();

private:
    std::vector<member> peersToAsk(const fleet_list &list) const;
    void addMembersOf(const std::vector<instance_page> &pages, fleet_list &list) const;

    fleet_client &m_fleet;
    std::vector<endpoint> m_fallback;
};

} // namespace peridotwheel

#endif
