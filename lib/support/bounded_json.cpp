#include "peridotwheel/support/bounded_json.h"

namespace peridotwheel {

result<nlohmann::json> parseBoundedJson(const std::string &text)
{
    bool tooDeep = false;
    auto keep = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > maxJsonDepth;
        return !tooDeep;
    };
    nlohmann::json value = nlohmann::json::parse(text, keep, false);
    if (tooDeep)
        return failure(error_kind::InvalidArgument, "the JSON text is nested too deeply");
    if (value.is_discarded())
        return failure(error_kind::InvalidArgument, "the text is not JSON");
    return value;
}

} // namespace peridotwheel
