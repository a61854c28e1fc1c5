#include "peridotwheel/configuration/configuration_document.h"

#include "peridotwheel/support/bounded_json.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace peridotwheel {

namespace {

using json = nlohmann::json;

class_spec specFromJson(const json &in)
{
    class_spec spec;
    spec.name = class_name(in.at("name").get<std::string>());
    const json &latency = in.at("latencyTargetMs");
    const json &rank = in.at("rank");
    const json &quantile = in.at("quantile");
    const json &coverage = in.at("coverageTarget");
    if (!latency.is_number() || !quantile.is_number() || !coverage.is_number() ||
        !rank.is_number_unsigned())
        throw std::runtime_error("class '" + spec.name.value() +
                                 "': latencyTargetMs, quantile, coverageTarget and rank must be "
                                 "numbers, and rank a whole one");
    const auto ms = latency.get<double>();
    // Values far outside the valid range would overflow the conversion. They become 0, which
    // validation rejects with the bounds. Other values are rounded, so that a target of whole
    // microseconds is unchanged after it is written and read back.
    spec.latencyTarget = duration(std::llround(ms > 0 && ms < 1e12 ? ms * 1000.0 : 0.0));
    spec.quantile = quantile.get<double>();
    spec.coverageTarget = coverage.get<double>();
    spec.rank = class_rank(
            static_cast<std::uint32_t>(std::min<std::uint64_t>(rank.get<std::uint64_t>(), ~0U)));
    return spec;
}

status_words wordsFromJson(const json &in)
{
    status_words words;
    words.retry = in.at("retry").get<std::string>();
    words.wait = in.at("wait").get<std::string>();
    words.giveUp = in.at("giveUp").get<std::string>();
    words.done = in.at("done").get<std::string>();
    return words;
}

configuration_document documentFromJson(const json &in)
{
    configuration_document document;
    for (const json &c : in.at("classes")) {
        auto spec = specFromJson(c);
        const auto name = spec.name;
        if (!document.classes.emplace(name, std::move(spec)).second)
            throw std::runtime_error("class '" + name.value() + "' appears twice");
    }
    if (in.contains("words"))
        document.words = wordsFromJson(in.at("words"));
    if (in.contains("changes")) {
        for (const json &c : in.at("changes"))
            document.changes.push_back(
                    {c.at("changeId").get<std::string>(), c.at("summary").get<std::string>()});
    }
    return document;
}

} // namespace

std::string toJson(const configuration_document &document)
{
    json classes = json::array();
    for (const auto &[name, spec] : document.classes)
        classes.push_back({{"name", name.value()},
                           {"latencyTargetMs", toMilliseconds(spec.latencyTarget)},
                           {"quantile", spec.quantile},
                           {"coverageTarget", spec.coverageTarget},
                           {"rank", spec.rank.value()}});
    json changes = json::array();
    for (const auto &change : document.changes)
        changes.push_back({{"changeId", change.changeId}, {"summary", change.summary}});
    const auto &words = document.words;
    const json out = {{"classes", std::move(classes)},
                      {"words",
                       {{"retry", words.retry},
                        {"wait", words.wait},
                        {"giveUp", words.giveUp},
                        {"done", words.done}}},
                      {"changes", std::move(changes)}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<configuration_document> configurationFromJson(const std::string &text,
                                                     object_version version)
{
    const auto parsed = parseBoundedJson(text);
    if (!parsed)
        return parsed.error();
    try {
        auto document = documentFromJson(parsed.value());
        document.version = version;
        return document;
    } catch (const std::exception &e) {
        return failure(error_kind::InvalidArgument,
                       std::string("the configuration document is malformed: ") + e.what());
    }
}

} // namespace peridotwheel
