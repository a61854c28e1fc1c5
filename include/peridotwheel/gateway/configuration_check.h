#ifndef PERIDOTWHEEL_GATEWAY_CONFIGURATION_CHECK_H
#define PERIDOTWHEEL_GATEWAY_CONFIGURATION_CHECK_H

#include "peridotwheel/gateway/route.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotwheel {

/// Finds what is probably wrong in a configuration that can be read, before operators put it in
/// force. Texts name teams and never contain their keys.
class configuration_check
{
public:
    struct report
    {
        /// What operators have to correct.
        std::vector<std::string> errors;
        /// What they may want to know.
        std::vector<std::string> notes;
    };

    /// Without \p regions, home regions are not checked.
    explicit configuration_check(std::optional<std::set<region_id>> regions);

    report check(const route_configuration &next) const;
    /// Also lists the differences from the version in force.
    report check(const route_configuration &next, const route_configuration &inForce) const;

private:
    void checkHomes(const std::string &owner, const home_regions &homes, report &out) const;

    std::optional<std::set<region_id>> m_regions;
};

} // namespace peridotwheel

#endif
