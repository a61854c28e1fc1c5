#include "peridotwheel/gateway/configuration_check.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <tuple>
#include <utility>

namespace peridotwheel {

namespace {

using report = configuration_check::report;

/// Absorbs the rounding error of a share of the shards, such as 0.7 of 10.
constexpr double roundingTolerance = 1e-9;

std::string quoted(const std::string &text)
{
    return "'" + text + "'";
}

std::string routeText(const route &r)
{
    return "route " + quoted(r.name.value());
}

std::string teamText(const team_spec &team)
{
    return "team " + quoted(team.name.value());
}

std::string numberText(double number)
{
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Returns the prefix up to which two prefixes match the same paths: since each path begins with
/// '/', an empty prefix matches what "/" does.
std::string effectivePrefix(const std::string &prefix)
{
    return prefix.empty() ? "/" : prefix;
}

void checkHidden(const route_configuration &next, report &out)
{
    // By host and effective prefix: the route that gets the requests.
    std::map<std::pair<std::string, std::string>, const route *> first;
    for (const auto &r : next.routes) {
        if (!r->prefix.empty() &&
            (r->prefix.front() != '/' || r->prefix.find('?') != std::string::npos)) {
            out.errors.push_back(routeText(*r) + " never matches: no path begins with its prefix " +
                                 quoted(r->prefix) + "; begin it with '/' and leave out queries");
            continue;
        }
        const auto key = std::make_pair(lowerCase(r->host), effectivePrefix(r->prefix));
        const auto [it, isFirst] = first.emplace(key, r.get());
        if (isFirst)
            continue;
        const route *hidden = r.get();
        // The longer prefix wins, then the order of the list.
        if (r->prefix.size() > it->second->prefix.size())
            std::swap(hidden, it->second);
        out.errors.push_back(routeText(*hidden) + " never matches: " + routeText(*it->second) +
                             " gets all its requests; remove one of them or change its prefix");
    }
}

void checkServices(const route_configuration &next, report &out)
{
    std::set<service_name> used;
    for (const auto &r : next.routes) {
        std::set<service_name> ofRoute;
        for (const auto &name : servicesOf(*r)) {
            used.insert(name);
            if (!ofRoute.insert(name).second)
                out.errors.push_back(routeText(*r) + " names the service " + quoted(name.value()) +
                                     " twice; name it once");
            else if (next.services.count(name) == 0)
                out.errors.push_back(routeText(*r) + " uses the service " + quoted(name.value()) +
                                     ", which 'services' lacks; add it there");
        }
    }
    for (const auto &[name, spec] : next.services) {
        if (used.count(name) == 0)
            out.notes.push_back("no route uses the service " + quoted(name.value()));
    }
}

void checkLimits(const route_configuration &next, report &out)
{
    for (const auto &r : next.routes) {
        if (r->target > r->timeout)
            out.errors.push_back(routeText(*r) + " has a latency target of " +
                                 numberText(toMilliseconds(r->target)) +
                                 " ms, over its timeout of " +
                                 numberText(toMilliseconds(r->timeout)) + " ms; lower the target");
        if (!r->gather || r->gather->minCoverage >= 1)
            continue;
        const auto shards = static_cast<double>(r->gather->shards.size());
        const double needed = std::ceil(r->gather->minCoverage * shards - roundingTolerance);
        if (needed >= shards)
            out.errors.push_back(routeText(*r) + " has a leastShare of " +
                                 numberText(r->gather->minCoverage) + ", which only all of its " +
                                 numberText(shards) + " shards reach; set it to 1 or to at most " +
                                 numberText((shards - 1) / shards));
    }
    if (!next.teams)
        return;
    for (const auto &team : *next.teams) {
        if (team->hasBurstWithoutRate)
            out.errors.push_back(teamText(*team) + " has a burst but no ratePerS, so that it is " +
                                 "not limited; add the rate or remove the burst");
    }
}

void checkKeys(const std::vector<team_ptr> &teams, report &out)
{
    std::map<std::string, const team_spec *> holders;
    std::set<std::pair<const team_spec *, const team_spec *>> reported;
    std::set<team_name> names;
    for (const auto &team : teams) {
        if (!names.insert(team->name).second)
            out.errors.push_back(teamText(*team) + " is listed twice; join its entries");
        if (team->keys.empty())
            out.notes.push_back(teamText(*team) + " has no key, so that none of its requests is " +
                                "served on routes that are not public");
        for (const auto &key : team->keys) {
            const team_spec *holder = holders.emplace(key, team.get()).first->second;
            if (holder != team.get() && reported.emplace(holder, team.get()).second)
                out.errors.push_back(teamText(*holder) + " and " + teamText(*team) +
                                     " hold the same key; give each its own");
        }
    }
}

/// Notes the members that only one of two lists has, and those that differ.
template <typename Map, typename Equal>
void noteDifferences(const std::string &what, const Map &before, const Map &after, Equal equal,
                     report &out)
{
    for (const auto &[name, value] : after) {
        const auto old = before.find(name);
        if (old == before.end())
            out.notes.push_back(what + quoted(name.value()) + " is new");
        else if (!equal(old->second, value))
            out.notes.push_back(what + quoted(name.value()) + " changes");
    }
    for (const auto &[name, value] : before) {
        if (after.count(name) == 0)
            out.notes.push_back(what + quoted(name.value()) + " is removed");
    }
}

template <typename Name, typename Pointer>
std::map<Name, Pointer> byName(const std::vector<Pointer> &list)
{
    std::map<Name, Pointer> out;
    for (const auto &each : list)
        out.emplace(each->name, each);
    return out;
}

bool isSameRoute(const route_ptr &a, const route_ptr &b)
{
    const auto fields = [](const route &r) {
        return std::tie(r.host, r.prefix, r.kind, r.timeout, r.target, r.rank, r.maxAttempts,
                        r.isPublic, r.homes);
    };
    const auto weights = [](const route &r) {
        std::vector<std::pair<service_name, double>> out;
        for (const auto &part : r.services)
            out.emplace_back(part.service, part.weight);
        return out;
    };
    const gather_spec none;
    const gather_spec &gatherA = a->gather ? *a->gather : none;
    const gather_spec &gatherB = b->gather ? *b->gather : none;
    const auto gatherFields = [](const gather_spec &g) {
        return std::tie(g.shards, g.topRecords, g.minCoverage);
    };
    return fields(*a) == fields(*b) && weights(*a) == weights(*b) &&
           gatherFields(gatherA) == gatherFields(gatherB);
}

bool isSameService(const service_spec &a, const service_spec &b)
{
    return std::tie(a.healthCheckPath, a.maxConnections, a.coldLimit) ==
           std::tie(b.healthCheckPath, b.maxConnections, b.coldLimit);
}

bool isSameTeam(const team_ptr &a, const team_ptr &b)
{
    return std::tie(a->rank, a->allotment, a->homes) == std::tie(b->rank, b->allotment, b->homes);
}

std::size_t countMissing(const std::set<std::string> &keys, const std::set<std::string> &from)
{
    return static_cast<std::size_t>(
            std::count_if(keys.begin(), keys.end(),
                          [&](const std::string &key) { return from.count(key) == 0; }));
}

void noteKeyChanges(const std::map<team_name, team_ptr> &before,
                    const std::map<team_name, team_ptr> &after, report &out)
{
    for (const auto &[name, team] : after) {
        const auto old = before.find(name);
        if (old == before.end())
            continue;
        const std::set<std::string> oldKeys(old->second->keys.begin(), old->second->keys.end());
        const std::set<std::string> newKeys(team->keys.begin(), team->keys.end());
        const std::size_t added = countMissing(newKeys, oldKeys);
        const std::size_t withdrawn = countMissing(oldKeys, newKeys);
        if (added + withdrawn > 0)
            out.notes.push_back(teamText(*team) + ": " + std::to_string(added) + " keys added, " +
                                std::to_string(withdrawn) + " withdrawn");
    }
}

void noteTeamChanges(const route_configuration &next, const route_configuration &inForce,
                     report &out)
{
    if (next.teams.has_value() != inForce.teams.has_value())
        out.notes.push_back(next.teams ? "callers have to authenticate from now on"
                                       : "callers need not authenticate any more");
    const std::vector<team_ptr> none;
    const auto before = byName<team_name>(inForce.teams ? *inForce.teams : none);
    const auto after = byName<team_name>(next.teams ? *next.teams : none);
    noteDifferences("team ", before, after, isSameTeam, out);
    noteKeyChanges(before, after, out);
}

bool areLimitsEqual(const stream_limits &a, const stream_limits &b)
{
    return a.message.maxHeaderBytes == b.message.maxHeaderBytes &&
           a.message.maxBodyBytes == b.message.maxBodyBytes && a.headerTimeout == b.headerTimeout &&
           a.idleTimeout == b.idleTimeout;
}

} // namespace

configuration_check::configuration_check(std::optional<std::set<region_id>> regions)
    : m_regions(std::move(regions))
{
}

void configuration_check::checkHomes(const std::string &owner, const home_regions &homes,
                                     report &out) const
{
    if (!m_regions)
        return;
    for (const auto &region : homes) {
        if (m_regions->count(region) == 0)
            out.errors.push_back(owner + " has the home region " + quoted(region.value()) +
                                 ", which no data centre of the settings has; correct its name");
    }
}

configuration_check::report configuration_check::check(const route_configuration &next) const
{
    report out;
    out.errors = next.defects;
    checkHidden(next, out);
    checkServices(next, out);
    checkLimits(next, out);
    for (const auto &r : next.routes)
        checkHomes(routeText(*r), r->homes, out);
    if (!next.teams)
        return out;
    checkKeys(*next.teams, out);
    for (const auto &team : *next.teams)
        checkHomes(teamText(*team), team->homes, out);
    return out;
}

configuration_check::report configuration_check::check(const route_configuration &next,
                                                       const route_configuration &inForce) const
{
    report out = check(next);
    if (next.version <= inForce.version)
        out.errors.push_back("version " + std::to_string(next.version.value()) + " is not above " +
                             std::to_string(inForce.version.value()) +
                             ", which is in force, and would be ignored; raise it");
    noteDifferences("route ", byName<route_name>(inForce.routes), byName<route_name>(next.routes),
                    isSameRoute, out);
    noteDifferences("service ", inForce.services, next.services, isSameService, out);
    noteTeamChanges(next, inForce, out);
    if (!areLimitsEqual(next.limits, inForce.limits))
        out.notes.push_back("the limits change");
    return out;
}

} // namespace peridotwheel
