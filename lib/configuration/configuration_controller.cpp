#include "peridotwheel/configuration/configuration_controller.h"

#include "peridotwheel/platform/watcher_election.h"
#include "peridotwheel/support/log.h"

namespace peridotwheel {

const object_key configurationKey{"configuration", "current"};

configuration_controller::configuration_controller(event_loop &loop, blackboard &board,
                                                   platform_client &platform, counter_set &counters,
                                                   event_sink events, std::uint64_t seed,
                                                   member self, object_watcher_options options)
    : m_board(board)
    , m_events(std::move(events))
    , m_adopted(counters.at("configuration.adopted"))
    , m_refused(counters.at("configuration.refused"))
    , m_self(std::move(self))
    , m_watcher(loop, platform, counters, configurationKey.kind, seed, options,
                [this](const auto &objects) { onObjects(objects); })
{
    auto elect = [this](const member_map &members) {
        m_watcher.setActive(isWatcher(members, m_self, configurationKey.kind));
    };
    m_members = board.members.subscribe([elect](const auto &members) { elect(*members); });
    elect(board.members.value());
}

void configuration_controller::start()
{
    m_watcher.start();
}

void configuration_controller::onObjects(const std::vector<platform_object> &objects)
{
    for (const auto &object : objects) {
        if (object.key.name == configurationKey.name)
            offer(object.value, object.version, version_source::Platform);
    }
}

bool configuration_controller::offer(const std::string &text, object_version version,
                                     version_source source)
{
    if (version <= this->version())
        return false;
    auto document = configurationFromJson(text, version);
    result<void> valid = document ? validate(document.value()) : result<void>(document.error());
    if (!valid) {
        if (version != m_refusedVersion) {
            m_refusedVersion = version;
            m_refused.add();
            LOG(ERROR) << "event=configuration-refused version=" << version
                       << " reason=" << logValue(valid.error().message);
        }
        return false;
    }
    m_text = text;
    m_adopted.add();
    m_board.configuration.set(std::move(document).value());
    LOG(INFO) << "event=configuration-adopted version=" << version;
    if (m_events) {
        timeline_event event;
        event.kind = event_kind::Configuration;
        event.text = "configuration version=" + std::to_string(version.value());
        m_events(std::move(event));
    }
    if (m_onAdopted)
        m_onAdopted(source);
    return true;
}

} // namespace peridotwheel
