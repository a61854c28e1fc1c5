#include "peridotwheel/standin/fault_plan.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using nlohmann::json;
using field_reader = std::function<bool(const json &, fault_plan &)>;

field_reader flag(bool fault_plan::*member)
{
    return [member](const json &v, fault_plan &plan) {
        if (!v.is_boolean())
            return false;
        plan.*member = v.get<bool>();
        return true;
    };
}

field_reader number(double fault_plan::*member, double low, double high)
{
    return [=](const json &v, fault_plan &plan) {
        if (!v.is_number() || v.get<double>() < low || v.get<double>() > high)
            return false;
        plan.*member = v.get<double>();
        return true;
    };
}

bool readDelay(const json &v, fault_plan &plan)
{
    if (!v.is_number() || v.get<double>() < 0)
        return false;
    plan.delayedBy = fromMilliseconds(v.get<double>());
    return true;
}

bool readCold(const json &v, fault_plan &plan)
{
    if (!v.is_number_unsigned())
        return false;
    plan.coldReplies = v.get<std::uint32_t>();
    return true;
}

bool readHealth(const json &v, fault_plan &plan)
{
    if (!v.is_string())
        return false;
    plan.healthLie = v.get<std::string>();
    return true;
}

bool readDropFrom(const json &v, fault_plan &plan)
{
    if (!v.is_array())
        return false;
    plan.dropFrom.clear();
    for (const auto &name : v) {
        if (!name.is_string())
            return false;
        plan.dropFrom.insert(data_centre_id(name.get<std::string>()));
    }
    return true;
}

const std::map<std::string, field_reader> &fields()
{
    constexpr double maxFactor = 1e6;
    static const std::map<std::string, field_reader> all = {
            {"silent", flag(&fault_plan::silent)},
            {"dead", flag(&fault_plan::dead)},
            {"slowFactor", number(&fault_plan::slowFactor, 0, maxFactor)},
            {"delayedFraction", number(&fault_plan::delayedFraction, 0, 1)},
            {"delayedByMs", readDelay},
            {"errorFraction", number(&fault_plan::errorFraction, 0, 1)},
            {"coldReplies", readCold},
            {"coldFactor", number(&fault_plan::coldFactor, 0, maxFactor)},
            {"shedAll", flag(&fault_plan::shedAll)},
            {"draining", flag(&fault_plan::draining)},
            {"drainInHealth", flag(&fault_plan::drainInHealth)},
            {"drainInReplies", flag(&fault_plan::drainInReplies)},
            {"resetBefore", number(&fault_plan::resetBefore, 0, 1)},
            {"resetAfter", number(&fault_plan::resetAfter, 0, 1)},
            {"healthLie", readHealth},
            {"loadLie", number(&fault_plan::loadLie, -1, maxFactor)},
            {"dropFrom", readDropFrom},
    };
    return all;
}

std::string knownFields()
{
    std::string out = "clear";
    for (const auto &entry : fields())
        out += ", " + entry.first;
    return out;
}

} // namespace

result<void> applyFaultJson(const std::string &text, fault_plan &plan)
{
    const json doc = json::parse(text, nullptr, false);
    if (!doc.is_object())
        return failure(error_kind::InvalidArgument, "the fault is not a JSON object; send {...}");
    const auto clear = doc.find("clear");
    fault_plan changed = clear != doc.end() && *clear == json(true) ? fault_plan{} : plan;
    for (const auto &[name, value] : doc.items()) {
        if (name == "clear")
            continue;
        const auto it = fields().find(name);
        if (it == fields().end()) {
            return failure(error_kind::InvalidArgument,
                           "unknown fault '" + name + "'; use one of " + knownFields());
        }
        if (!it->second(value, changed)) {
            return failure(error_kind::InvalidArgument, "fault '" + name + "' cannot be " +
                                                                value.dump() +
                                                                "; check its type and range");
        }
    }
    plan = changed;
    return success();
}

} // namespace peridotwheel
