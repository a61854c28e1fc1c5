#include "peridotwheel/membership/membership_controller.h"

#include "peridotwheel/support/log.h"

#include <algorithm>

namespace peridotwheel {

membership_controller::membership_controller(event_loop &loop, blackboard &board,
                                             platform_client &platform, counter_set &counters,
                                             event_sink events, std::uint64_t seed, member self,
                                             membership_options options)
    : m_loop(loop)
    , m_board(board)
    , m_platform(platform)
    , m_probes(counters.at("membership.probes"))
    , m_probeFailures(counters.at("membership.probe_failures"))
    , m_suspicions(counters.at("membership.suspicions"))
    , m_deaths(counters.at("membership.deaths"))
    , m_pausesSeen(counters.at("membership.pauses"))
    , m_events(std::move(events))
    , m_random(seed)
    , m_self(std::move(self))
    , m_options(options)
    , m_this(std::make_shared<membership_controller *>(this))
{
    // A clock before the epoch would be converted to one of the highest incarnations.
    const auto wall = std::max<std::int64_t>(loop.wallNow().time_since_epoch().count(), 0);
    m_self.incarnation = std::max(m_self.incarnation, static_cast<std::uint64_t>(wall));
    m_self.state = member_state::Alive;
    m_self.since = loop.now();
    m_table.merge(m_self, loop.now());
    publish();
}

membership_controller::~membership_controller() = default;

void membership_controller::start(probe_hook probe)
{
    m_probe = std::move(probe);
    readList();
    scheduleTick();
}

unsigned membership_controller::log2FleetSize() const
{
    unsigned n = 1;
    while ((std::size_t{1} << n) < m_table.all().size() + 1)
        ++n;
    return n;
}

void membership_controller::scheduleTick()
{
    // Jitter of up to a tenth, so that instances do not probe in lockstep.
    const double factor = 0.9 + 0.2 * m_random.fraction();
    const auto delay = duration(
            static_cast<duration::rep>(static_cast<double>(m_options.period.count()) * factor));
    m_tickDue = m_loop.now() + delay;
    m_tickTimer = m_loop.schedule(delay, [this] { tick(); });
}

/// Whether the current period should have ended more than two periods ago. In that case this
/// process was paused, and a probe without an answer says nothing about its target.
bool membership_controller::isTickOverdue() const
{
    return m_loop.now() > m_tickDue + 2 * m_options.period;
}

void membership_controller::tick()
{
    if (isTickOverdue()) {
        ++m_pauses;
        m_pausesSeen.add();
        LOG(WARNING) << "event=process-paused ms=" << toMilliseconds(m_loop.now() - m_tickDue);
    }
    ++m_period;
    expire();
    sendProbes();
    scheduleTick();
}

void membership_controller::expire()
{
    const std::uint64_t suspicion =
            std::uint64_t{m_options.suspicionPeriodsPerDoubling} * log2FleetSize();
    std::vector<member> dead;
    std::vector<instance_id> forgotten;
    for (const auto &[id, m] : m_table.all()) {
        const local_state &n = m_localStates[id];
        const std::uint64_t age = m_period - n.changedPeriod;
        if (m.state == member_state::Suspect && age >= suspicion) {
            dead.push_back(m);
            dead.back().state = member_state::Dead;
        } else if (m.state == member_state::Dead) {
            if (age == m_options.deadHoldPeriods)
                schedulePublish();
            if (age >= m_options.tombstonePeriods && !n.listed)
                forgotten.push_back(id);
        }
    }
    for (const auto &m : dead)
        apply(m);
    for (const auto &id : forgotten) {
        m_table.forget(id);
        m_localStates.erase(id);
    }
}

void membership_controller::sendProbes()
{
    std::vector<const member *> own;
    std::vector<const member *> remote;
    std::vector<const member *> suspects;
    std::vector<const member *> listedDead;
    for (const auto &[id, m] : m_table.all()) {
        if (id == m_self.id)
            continue;
        if (m.state == member_state::Suspect)
            suspects.push_back(&m);
        else if (m.state != member_state::Dead)
            (m.dataCentre == m_self.dataCentre ? own : remote).push_back(&m);
        else if (m_localStates[id].listed)
            listedDead.push_back(&m);
    }
    const bool isRemoteProbeTurn = m_period % m_options.remoteProbePeriods == 0;
    probeOne(own);
    // The probe carries the suspicion to the suspected member, which can then refute it.
    probeOne(suspects);
    if (isRemoteProbeTurn || own.empty())
        probeOne(remote);
    // After a network partition, each side considers the other dead; only these probes end that.
    if (isRemoteProbeTurn || (own.empty() && remote.empty()))
        probeOne(listedDead);
}

void membership_controller::probeOne(const std::vector<const member *> &candidates)
{
    if (candidates.empty())
        return;
    const member target = *candidates[m_random.below(candidates.size())];
    m_probes.add();
    std::weak_ptr<membership_controller *> weak = m_this;
    m_probe(target, [weak, target, pauses = m_pauses](bool answered) {
        if (auto self = weak.lock())
            (*self)->onProbed(target, pauses, answered);
    });
}

void membership_controller::onProbed(const member &target, std::uint64_t pauses, bool answered)
{
    if (answered)
        return;
    m_probeFailures.add();
    if (pauses != m_pauses || isTickOverdue())
        return;
    member update = target;
    // A leaving member that no longer answers has shut down as announced: no suspicion is needed.
    if (target.state == member_state::Alive)
        update.state = member_state::Suspect;
    else if (target.state == member_state::Leaving)
        update.state = member_state::Dead;
    else
        return;
    const member *present = m_table.find(target.id);
    if (present != nullptr && present->incarnation == target.incarnation)
        apply(update);
}

bool membership_controller::apply(const member &update)
{
    const member *before = m_table.find(update.id);
    const auto stateBefore = before != nullptr ? before->state : member_state::Alive;
    if (!m_table.merge(update, m_loop.now()))
        return false;
    local_state &n = m_localStates[update.id];
    if (before == nullptr || stateBefore != update.state)
        n.changedPeriod = m_period;
    if (stateBefore != update.state || before == nullptr)
        logStateChange(update);
    queueForGossip(update.id);
    schedulePublish();
    return true;
}

void membership_controller::logStateChange(const member &m)
{
    static const char *const names[] = {"alive", "suspect", "leaving", "dead"};
    const char *state = names[static_cast<int>(m.state)];
    if (m.state == member_state::Suspect)
        m_suspicions.add();
    if (m.state == member_state::Dead)
        m_deaths.add();
    LOG(INFO) << "event=member-" << state << " id=" << logValue(m.id.value())
              << " start=" << m.start << " incarnation=" << m.incarnation;
    if (!m_events)
        return;
    timeline_event event;
    event.kind = event_kind::Membership;
    event.text = "member " + m.id.value() + " " + state;
    m_events(std::move(event));
}

void membership_controller::queueForGossip(const instance_id &id)
{
    m_recent.add(id, m_options.transmitsPerDoubling * log2FleetSize());
}

void membership_controller::merge(const std::vector<member> &updates)
{
    for (const auto &update : updates) {
        if (update.id == m_self.id)
            refute(update);
        else
            apply(update);
    }
}

/// Raises the incarnation of this instance above that of \p update if the update would supersede
/// its own record: a more severe state than the true one, or a record of an earlier start.
void membership_controller::refute(const member &update)
{
    if (!membership_table::supersedes(update, m_self))
        return;
    m_self.incarnation = update.incarnation + 1;
    apply(m_self);
}

void membership_controller::announceLeaving()
{
    m_self.state = member_state::Leaving;
    ++m_self.incarnation;
    apply(m_self);
    publish();
}

std::vector<member> membership_controller::updatesFor(const instance_id &target)
{
    std::vector<member> out;
    auto add = [&](const member *m) {
        const auto same = [&](const member &o) { return o.id == m->id; };
        if (m->id != m_self.id && std::none_of(out.begin(), out.end(), same))
            out.push_back(*m);
    };
    if (const member *m = m_table.find(target); m != nullptr && m->state != member_state::Alive)
        add(m);
    for (const auto &id : m_recent.take(m_options.maxRecent)) {
        if (const member *m = m_table.find(id))
            add(m);
    }
    const auto &all = m_table.all();
    for (std::size_t i = std::min(m_options.maxRepeated, all.size()); i > 0; --i) {
        auto it = all.upper_bound(m_cursor);
        if (it == all.end())
            it = all.begin();
        m_cursor = it->first;
        // If dead members were repeated, instances would restore each other's expired records for
        // ever.
        if (it->second.state != member_state::Dead)
            add(&it->second);
    }
    return out;
}

std::vector<member> membership_controller::reachable(bool ownDataCentre) const
{
    std::vector<member> out;
    for (const auto &[id, m] : m_table.all()) {
        if (id != m_self.id && m.state != member_state::Dead &&
            (m.dataCentre == m_self.dataCentre) == ownDataCentre)
            out.push_back(m);
    }
    return out;
}

void membership_controller::schedulePublish()
{
    if (m_publishPending)
        return;
    m_publishPending = true;
    std::weak_ptr<membership_controller *> weak = m_this;
    m_loop.post([weak] {
        if (auto self = weak.lock())
            (*self)->publish();
    });
}

void membership_controller::publish()
{
    m_publishPending = false;
    member_map view;
    for (const auto &[id, m] : m_table.all()) {
        if (m.state != member_state::Dead ||
            m_period - m_localStates[id].changedPeriod < m_options.deadHoldPeriods)
            view.emplace_hint(view.end(), id, m);
    }
    m_board.members.set(std::move(view));
}

} // namespace peridotwheel
