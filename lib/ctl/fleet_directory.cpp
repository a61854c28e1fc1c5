#include "peridotwheel/ctl/fleet_directory.h"

#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using json = nlohmann::json;

/// Instances asked for their members in each data centre. One would do in an undisturbed fleet; the
/// others make up for one that has just started or does not answer.
constexpr std::size_t askedPerDataCentre = 3;

constexpr const char *membersPath = "/operator/status";

void addMember(const json &m, fleet_list &list)
{
    listed_instance found;
    found.instance.id = instance_id(m.at("id").get<std::string>());
    found.instance.dataCentre = data_centre_id(m.at("dataCentre").get<std::string>());
    const json &operators = m.at("operators");
    found.instance.operators = {operators.at("address").get<std::string>(),
                                operators.at("port").get<std::uint16_t>()};
    if (!list.platformProblem)
        found.onPlatformList = false;
    const std::string state = m.at("state").get<std::string>();
    const auto [it, isNew] = list.instances.emplace(found.instance.id, found);
    // Peers may differ; one that holds the instance for alive outweighs the others.
    if (it->second.peersSay.empty() || state == "alive")
        it->second.peersSay = state;
}

} // namespace

bool listed_instance::gone() const
{
    return offPlatformList() && (peersSay == "dead" || peersSay == "leaving");
}

fleet_directory::fleet_directory(fleet_client &fleet, std::vector<endpoint> fallback)
    : m_fleet(fleet)
    , m_fallback(std::move(fallback))
{
}

result<fleet_list> fleet_directory::read()
{
    fleet_list out;
    const auto listed = m_fleet.instances();
    if (listed) {
        for (const auto &m : listed.value())
            out.instances.emplace(m.id, listed_instance{m, true, ""});
        addMembersOf(m_fleet.fetch(peersToAsk(out), membersPath), out);
        return out;
    }
    if (m_fallback.empty()) {
        return failure(listed.error().kind,
                       listed.error().message +
                               "; an address of an instance in [fallback] operators would be asked "
                               "in its place");
    }
    out.platformProblem = listed.error();
    std::vector<member> asked(m_fallback.size());
    for (std::size_t i = 0; i < asked.size(); ++i)
        asked[i].operators = m_fallback[i];
    addMembersOf(m_fleet.fetch(asked, membersPath), out);
    if (out.instances.empty()) {
        return failure(listed.error().kind,
                       listed.error().message +
                               "; no address of [fallback] operators answered either");
    }
    return out;
}

std::vector<member> fleet_directory::peersToAsk(const fleet_list &list) const
{
    std::map<data_centre_id, std::size_t> asked;
    std::vector<member> out;
    for (const auto &[id, listed] : list.instances) {
        if (asked[listed.instance.dataCentre]++ < askedPerDataCentre)
            out.push_back(listed.instance);
    }
    return out;
}

void fleet_directory::addMembersOf(const std::vector<instance_page> &pages, fleet_list &list) const
{
    for (const auto &page : pages) {
        if (!page.body)
            continue;
        try {
            const json parsed = json::parse(*page.body);
            for (const auto &m : parsed.at("members"))
                addMember(m, list);
        } catch (const json::exception &) {
            // An instance of another release; the others know the same members.
            continue;
        }
    }
}

} // namespace peridotwheel
