#include "peridotwheel/standin/platform_standin.h"

#include "platform_impl.h"

#include <map>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using nlohmann::json;

bool readOutage(const json &v, platform_faults &faults)
{
    static const std::map<std::string, outage_mode> modes = {
            {"none", outage_mode::None},
            {"dropped", outage_mode::Dropped},
            {"unanswered", outage_mode::Unanswered},
    };
    const auto it = v.is_string() ? modes.find(v.get<std::string>()) : modes.end();
    if (it == modes.end())
        return false;
    faults.outage = it->second;
    return true;
}

bool readCutOff(const json &v, platform_faults &faults)
{
    if (!v.is_array())
        return false;
    faults.cutOff.clear();
    for (const auto &name : v) {
        if (!name.is_string())
            return false;
        faults.cutOff.insert(data_centre_id(name.get<std::string>()));
    }
    return true;
}

bool readField(const std::string &name, const json &v, platform_faults &faults)
{
    if (name == "outage")
        return readOutage(v, faults);
    if (name == "cutOff")
        return readCutOff(v, faults);
    if (name == "lostReplyKind" && v.is_string()) {
        faults.lostReplyKind = v.get<std::string>();
        return true;
    }
    if (!v.is_number() || v.get<double>() < 0)
        return false;
    if (name == "delayMs") {
        faults.delay = fromMilliseconds(v.get<double>());
        return true;
    }
    if (name != "lostReplyFraction" || v.get<double>() > 1)
        return false;
    faults.lostReplyFraction = v.get<double>();
    return true;
}

} // namespace

result<void> applyFaultJson(const std::string &text, platform_faults &faults)
{
    const json doc = json::parse(text, nullptr, false);
    if (!doc.is_object())
        return failure(error_kind::InvalidArgument, "the fault is not a JSON object; send {...}");
    const auto clear = doc.find("clear");
    platform_faults changed =
            clear != doc.end() && *clear == json(true) ? platform_faults{} : faults;
    for (const auto &[name, value] : doc.items()) {
        if (name != "clear" && !readField(name, value, changed)) {
            return failure(error_kind::InvalidArgument,
                           "fault '" + name + "' cannot be " + value.dump() +
                                   "; use outage (none, dropped, unanswered), delayMs, "
                                   "lostReplyFraction, lostReplyKind, cutOff or clear");
        }
    }
    faults = changed;
    return success();
}

platform_standin::platform_standin(libevent_loop &loop, platform_config config)
    : m_impl(std::make_unique<impl>(loop, std::move(config)))
{
}

platform_standin::~platform_standin() = default;

result<void> platform_standin::start()
{
    return m_impl->start();
}

endpoint platform_standin::address() const
{
    return m_impl->address();
}

const platform_faults &platform_standin::faults() const
{
    return m_impl->faults();
}

void platform_standin::setFaults(const platform_faults &faults)
{
    m_impl->setFaults(faults);
}

const platform_counters &platform_standin::counters() const
{
    return m_impl->counters();
}

std::uint64_t platform_standin::put(const std::string &kind, const std::string &name,
                                    const std::string &value)
{
    return m_impl->put(kind, name, value);
}

void platform_standin::remove(const std::string &kind, const std::string &name)
{
    m_impl->remove(kind, name);
}

} // namespace peridotwheel
