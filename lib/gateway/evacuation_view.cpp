#include "evacuation_view.h"

#include "peridotwheel/gateway/decision_log.h"
#include "view_watch_options.h"

#include <utility>

namespace peridotwheel {

namespace {

/// Fraction of `applyWithin` for which evacuations stay in force after the store's return. The rest
/// covers the time until the last instance learns of the return, so that one that nobody writes
/// again ends everywhere within `applyWithin`.
constexpr double keepFraction = 0.6;

} // namespace

evacuation_view::evacuation_view(event_loop &loop, platform_client &store, counter_set &counters,
                                 decision_log &log, const settings &s, evacuations_hook onChanged)
    : m_loop(loop)
    , m_applyWithin(s.applyWithin)
    , m_log(log)
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

void evacuation_view::onStoreReturned(store_era era)
{
    const bool isBehind = m_list && era > m_list->revision.era() && era > m_requestedEra;
    if (!isBehind || !m_watch.active())
        return;
    m_requestedEra = era;
    m_watch.refresh();
}

void evacuation_view::onRead(const watch_result &read, bool isFullList)
{
    if (m_list && read.next.era() < m_list->revision.era())
        return;
    evacuation_list list;
    if (m_list && !isFullList)
        list = *m_list;
    list.revision = read.next;
    for (const auto &object : read.changed)
        list.dataCentres.insert(data_centre_id(object.key.name));
    for (const auto &key : read.removed) {
        list.dataCentres.erase(data_centre_id(key.name));
        m_kept.erase(data_centre_id(key.name));
    }
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
    if (!isFirst && list.revision.era() > m_list->revision.era())
        keepEvacuationsInForce();
    m_list = std::move(list);
    publish(source, isFirst);
}

void evacuation_view::keepEvacuationsInForce()
{
    m_kept = m_inForce;
    m_keepTimer = m_loop.schedule(scaled(m_applyWithin, keepFraction), [this] {
        m_kept.clear();
        publish("store", false);
    });
}

void evacuation_view::publish(const char *source, bool isFirst)
{
    std::set<data_centre_id> inForce = m_list->dataCentres;
    inForce.insert(m_kept.begin(), m_kept.end());
    const std::set<data_centre_id> before = std::exchange(m_inForce, inForce);
    if (!isFirst && m_inForce == before)
        return;
    for (const auto &dataCentre : m_inForce) {
        if (before.count(dataCentre) == 0)
            m_log.state("evacuation_begun")
                    .add("data_centre", dataCentre.value())
                    .add("source", source);
    }
    for (const auto &dataCentre : before) {
        if (m_inForce.count(dataCentre) == 0)
            m_log.state("evacuation_ended")
                    .add("data_centre", dataCentre.value())
                    .add("source", source);
    }
    m_onChanged(m_inForce);
}

} // namespace peridotwheel
