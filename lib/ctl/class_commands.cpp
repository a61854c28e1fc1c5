#include "peridotwheel/configuration/configuration_controller.h"
#include "peridotwheel/configuration/configuration_writer.h"
#include "peridotwheel/ctl/commands.h"
#include "peridotwheel/ctl/text_table.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>

namespace peridotwheel {

namespace {

using json = nlohmann::ordered_json;

std::string decimal(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%g", value);
    return text;
}

json classJson(const class_spec &spec)
{
    return {{"name", spec.name.value()},
            {"latencyTargetMs", toMilliseconds(spec.latencyTarget)},
            {"quantile", spec.quantile},
            {"coverageTarget", spec.coverageTarget},
            {"rank", spec.rank.value()}};
}

std::vector<std::string> classRow(const class_spec &spec)
{
    return {spec.name.value(), std::to_string(spec.rank.value()),
            decimal(toMilliseconds(spec.latencyTarget)) + " ms", decimal(spec.quantile),
            decimal(spec.coverageTarget)};
}

const std::vector<std::string> classHeading = {"class", "rank", "latency", "quantile", "coverage"};

} // namespace

result<configuration_document> operator_commands::readConfiguration()
{
    auto object = m_fleet.await<platform_object>(
            [this](auto done) { m_fleet.platform().get(configurationKey, std::move(done)); });
    if (!object && object.error().kind == error_kind::NotFound)
        return configuration_document();
    if (!object)
        return object.error();
    return configurationFromJson(object.value().value, object.value().version);
}

void operator_commands::printClasses(const configuration_document &document)
{
    if (m_json) {
        json classes = json::array();
        for (const auto &[name, spec] : document.classes)
            classes.push_back(classJson(spec));
        m_out << json{{"version", document.version.value()}, {"classes", classes}}.dump(2) << "\n";
        return;
    }
    std::vector<std::vector<std::string>> rows = {classHeading};
    for (const auto &[name, spec] : document.classes)
        rows.push_back(classRow(spec));
    m_out << renderTable(rows);
}

exit_status operator_commands::listClasses()
{
    const auto document = readConfiguration();
    if (!document)
        return fail(document.error());
    printClasses(document.value());
    return exit_status::Done;
}

exit_status operator_commands::showClass(const class_name &name)
{
    auto document = readConfiguration();
    if (!document)
        return fail(document.error());
    const auto it = document.value().classes.find(name);
    if (it == document.value().classes.end()) {
        return fail({error_kind::NotFound, "there is no class '" + name.value() +
                                                   "'; 'peridotctl class list' shows the classes"});
    }
    configuration_document one;
    one.version = document.value().version;
    one.classes.insert(*it);
    printClasses(one);
    return exit_status::Done;
}

exit_status operator_commands::setClass(const class_spec &spec)
{
    return write(setClassChange(spec));
}

exit_status operator_commands::deleteClass(const class_name &name)
{
    return write(deleteClassChange(name));
}

exit_status operator_commands::setWords(const status_words &words)
{
    return write(setWordsChange(words));
}

exit_status operator_commands::write(const configuration_change &change)
{
    // The writer repeats failed calls for many seconds, to settle lost replies. A platform that
    // does not even answer this read is reported at once, and nothing is written.
    if (const auto present = readConfiguration(); !present)
        return fail({present.error().kind, present.error().message + "; nothing was changed"});
    // The seed makes the change id, by which a lost reply is settled, different in every run.
    std::random_device device;
    const std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32) | device();
    configuration_writer writer(m_fleet.loop(), m_fleet.platform(), seed);
    const auto version = m_fleet.await<object_version>(
            [&](auto done) { writer.write(change, std::move(done)); });
    if (!version)
        return fail(version.error());
    if (m_json)
        m_out << json{{"version", version.value().value()}}.dump() << "\n";
    else
        m_out << "accepted as version " << version.value()
              << "; 'peridotctl where' shows where it is in force\n";
    return exit_status::Done;
}

} // namespace peridotwheel
