#include "evacuation_view.h"

#include "peridotwheel/gateway/decision_log.h"
#include "view_watch_options.h"

#include <utility>

namespace peridotwheel {

evacuation_view::evacuation_view(event_loop &loop, platform_client &store, counter_set &counters,
                                 decision_log &log, const settings &s, evacuations_hook onChanged)
    : m_log(log)
    , m_onChanged(std::move(onChanged))
    , m_watch(loop, store, counters, s.kind, s.seed, viewWatchOptions(s.applyWithin), nullptr)
{
    m_watch.setReadHook(
            [this](const watch_result &read, bool isFullList) { onRead(read, isFullList); });
}

evacuation_view::~evacuation_view() = default;

void evacuation_view::setWatching(bool watching)
{
    m_watch.setActive(watching);
    if (watching && !std::exchange(m_isStarted, true))
        m_watch.start();
}

void evacuation_view::onRead(const watch_result &read, bool isFullList)
{
    evacuation_list list;
    if (m_list && !isFullList)
        list = *m_list;
    list.revision = read.next;
    for (const auto &object : read.changed)
        list.dataCentres.insert(data_centre_id(object.key.name));
    for (const auto &key : read.removed)
        list.dataCentres.erase(data_centre_id(key.name));
    apply(std::move(list), "store");
}

void evacuation_view::merge(const evacuation_list &other)
{
    if (!m_list || other.revision > m_list->revision)
        apply(other, "instance");
}

void evacuation_view::apply(evacuation_list list, const char *source)
{
    const bool isFirst = !m_list;
    const std::set<data_centre_id> before =
            m_list ? std::move(m_list->dataCentres) : std::set<data_centre_id>();
    m_list = std::move(list);
    if (!isFirst && m_list->dataCentres == before)
        return;
    for (const auto &dataCentre : m_list->dataCentres) {
        if (before.count(dataCentre) == 0)
            m_log.state("evacuation_begun")
                    .add("data_centre", dataCentre.value())
                    .add("source", source);
    }
    for (const auto &dataCentre : before) {
        if (m_list->dataCentres.count(dataCentre) == 0)
            m_log.state("evacuation_ended")
                    .add("data_centre", dataCentre.value())
                    .add("source", source);
    }
    m_onChanged(m_list->dataCentres);
}

} // namespace peridotwheel
