#include "shared_shards.h"

#include "peridotwheel/gateway/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace peridotwheel {

namespace {

constexpr double tailFactor = 5;
constexpr unsigned queuePerSlot = 6;
constexpr duration pauseLength = milliseconds(250);
constexpr duration pausePeriod = seconds(6);
constexpr double noisyShare = 0.15;
constexpr double noiseFactor = 2.5;
constexpr unsigned noisePeriodTicks = 600;
constexpr unsigned reportPeriodTicks = 50;
constexpr duration roundTrip = milliseconds(1);

team_name nameOfTeam(int team)
{
    return team < 0 ? team_name() : team_name("team-" + std::to_string(team));
}

} // namespace

void simulated_server::serve(duration work, done_fn done)
{
    if (m_queue.size() >= queuePerSlot * m_slots) {
        const auto at = m_timers.emplace(m_timers.end());
        *at = m_loop.schedule(roundTrip, [this, done = std::move(done), at] {
            const timer finished = std::move(*at);
            m_timers.erase(at);
            done(false);
        });
        return;
    }
    m_queue.push_back({work, std::move(done)});
    startNext();
}

duration simulated_server::timeFor(duration work) const
{
    const duration needed = scaled(work, m_speed * m_slowness);
    if (!m_pauses)
        return needed;
    const duration phase = (m_loop.now().time_since_epoch() + m_pauseOffset) % pausePeriod;
    if (phase < pauseLength)
        return pauseLength - phase + needed;
    return phase + needed > pausePeriod ? needed + pauseLength : needed;
}

void simulated_server::startNext()
{
    while (m_working < m_slots && !m_queue.empty()) {
        ++m_working;
        auto j = std::make_shared<job>(std::move(m_queue.front()));
        m_queue.pop_front();
        const auto at = m_timers.emplace(m_timers.end());
        *at = m_loop.schedule(timeFor(j->work), [this, j, at] {
            const timer finished = std::move(*at);
            m_timers.erase(at);
            --m_working;
            j->done(true);
            startNext();
        });
    }
}

struct shared_shards::instance
{
    explicit instance(const std::map<class_name, class_spec> &classes)
        : share(classes)
    {
    }

    admission_share share;
    std::map<class_rank, work_estimate> work;
    std::vector<std::vector<server_health>> health;
};

struct shared_shards::query
{
    instance *at = nullptr;
    const simulated_class *of = nullptr;
    int team = -1;
    std::uint64_t number = 0;
    time_point arrival;
    double factor = 1;
    std::vector<std::optional<duration>> served;
    std::vector<bool> isRejected;
    std::size_t answered = 0;
    std::size_t rejected = 0;
};

shared_shards::shared_shards(shards_spec spec, std::uint64_t seed)
    : m_spec(std::move(spec))
    , m_random(seed)
{
    std::map<class_name, class_spec> classes;
    for (const simulated_class &c : m_spec.classes) {
        class_spec &s = classes[class_name("rank" + std::to_string(c.rank.value()))];
        s.latencyTarget = c.target;
        s.rank = c.rank;
        m_counts[c.rank];
    }
    const std::array<double, 3> speeds{0.8, 1.0, 1.3};
    m_servers.resize(static_cast<std::size_t>(m_spec.shards));
    for (auto &replicas : m_servers) {
        for (int r = 0; r < m_spec.replicas; ++r) {
            const double speed = m_spec.hasUnevenServers ? speeds.at(m_random.below(3)) : 1.0;
            const duration offset = scaled(pausePeriod, m_random.fraction());
            replicas.push_back(
                    std::make_unique<simulated_server>(m_loop, m_spec.slots, speed, offset));
            replicas.back()->setPauses(m_spec.hasUnevenServers);
        }
    }
    for (int i = 0; i < m_spec.instances; ++i) {
        m_instances.push_back(std::make_unique<instance>(classes));
        for (const auto &replicas : m_servers)
            m_instances.back()->health.emplace_back(replicas.size(),
                                                    server_health(roundTrip, m_loop.now()));
    }
    m_teamCounts.resize(static_cast<std::size_t>(m_spec.teams));
    for (int t = 0; t < m_spec.teams; ++t) {
        m_homesOfTeams.emplace_back();
        for (int i = 0; i < m_spec.instancesPerTeam; ++i)
            m_homesOfTeams.back().push_back(m_random.below(m_instances.size()));
    }
}

shared_shards::~shared_shards() = default;

double shared_shards::drawFactor()
{
    std::normal_distribution<double> normal(-m_spec.spread * m_spec.spread / 2, m_spec.spread);
    const double factor = std::exp(normal(m_random.engine()));
    return m_random.fraction() < m_spec.tail ? tailFactor * factor : factor;
}

double shared_shards::capacity() const
{
    double work = 0;
    for (const simulated_class &c : m_spec.classes)
        work += c.share * c.workMs * (1 + m_spec.tail * (tailFactor - 1));
    constexpr double msPerSecond = 1000;
    return m_spec.replicas * m_spec.slots * msPerSecond / work;
}

void shared_shards::play(double load, duration length)
{
    const time_point end = m_loop.now() + length;
    constexpr double msPerSecond = 1000;
    // A hot team adds to the load.
    const double teams = std::max(m_spec.teams, 1);
    const double perStep = load * capacity() / msPerSecond * (teams + m_hotTeam - 1) / teams;
    while (m_loop.now() < end) {
        for (const simulated_class &c : m_spec.classes) {
            std::poisson_distribution<int> arrivals(perStep * c.share);
            for (int n = arrivals(m_random.engine()); n > 0; --n)
                offer(c);
        }
        advance();
    }
}

void shared_shards::advance()
{
    m_loop.advance(milliseconds(1));
    ++m_ticks;
    if (m_spec.hasUnevenServers && m_ticks % noisePeriodTicks == 0) {
        for (auto &replicas : m_servers) {
            for (auto &server : replicas)
                server->setSlowness(m_random.fraction() < noisyShare ? noiseFactor : 1);
        }
    }
    if (m_ticks % reportPeriodTicks != 0)
        return;
    for (const auto &q : m_running) {
        if (q->at->share.canSample(m_loop.now() - q->arrival))
            q->at->share.onQueryRunning(progress(*q), m_loop.now());
    }
}

void shared_shards::offer(const simulated_class &c)
{
    if (m_spec.teams == 0)
        return offer(c, *m_instances[m_random.below(m_instances.size())], -1);
    const double drawn = m_random.fraction() * (m_spec.teams + m_hotTeam - 1);
    const int team = drawn < m_hotTeam ? 0 : static_cast<int>(drawn - m_hotTeam) + 1;
    const auto &homes = m_homesOfTeams[static_cast<std::size_t>(team)];
    offer(c, *m_instances[homes[m_random.below(homes.size())]], team);
}

simulated_counts &shared_shards::countsOf(int team)
{
    static simulated_counts unused;
    return team < 0 ? unused : m_teamCounts[static_cast<std::size_t>(team)];
}

void shared_shards::offer(const simulated_class &c, instance &at, int team)
{
    simulated_counts &counts = m_counts.at(c.rank);
    ++counts.offered;
    ++countsOf(team).offered;
    const duration work = at.work[c.rank].onIdleServers();
    if (!at.share.admit(c.rank, nameOfTeam(team), work, m_random.fraction(), m_loop.now())) {
        ++counts.refused;
        ++countsOf(team).refused;
        return;
    }
    auto q = std::make_shared<query>();
    q->at = &at;
    q->of = &c;
    q->team = team;
    q->number = ++m_queries;
    q->arrival = m_loop.now();
    q->factor = drawFactor();
    q->served.resize(m_servers.size());
    q->isRejected.resize(m_servers.size());
    m_running.push_back(q);
    for (std::size_t shard = 0; shard < m_servers.size(); ++shard)
        send(q, shard, -1);
}

void shared_shards::send(const std::shared_ptr<query> &q, std::size_t shard, int excluded)
{
    const duration usual = q->at->work[q->of->rank].typical();
    std::vector<placement_candidate> candidates;
    for (const server_health &health : q->at->health[shard]) {
        placement_candidate c;
        c.health = &health;
        c.slots = m_spec.slots;
        c.isUsable = static_cast<int>(candidates.size()) != excluded;
        candidates.push_back(c);
    }
    const std::size_t chosen = chooseServer(candidates, usual, m_loop.now())->index;
    const time_point sentAt = m_loop.now();
    q->at->health[shard][chosen].onSent(sentAt);
    const double factor = m_spec.variesByQuery ? q->factor : drawFactor();
    const duration work = scaled(milliseconds(1), q->of->workMs * factor);
    m_servers[shard][chosen]->serve(work, [=](bool accepted) {
        server_health &health = q->at->health[shard][chosen];
        const time_point now = m_loop.now();
        if (accepted) {
            health.onReply(sentAt, usual, now);
            q->at->work[q->of->rank].add(now - sentAt, now);
            q->served[shard] = now - sentAt;
            ++q->answered;
        } else {
            health.onRejected(sentAt, now);
            if (excluded < 0)
                return send(q, shard, static_cast<int>(chosen));
            ++q->rejected;
            q->isRejected[shard] = true;
        }
        if (q->answered + q->rejected == m_servers.size())
            end(q);
    });
}

query_progress shared_shards::progress(const query &q) const
{
    query_progress p;
    p.query = query_number(q.number);
    p.work = q.at->work[q.of->rank].onIdleServers();
    p.rejectedShare = static_cast<double>(q.rejected) / static_cast<double>(m_servers.size());
    std::vector<duration> times;
    for (std::size_t i = 0; i < q.served.size(); ++i) {
        if (!q.isRejected[i])
            times.push_back(q.served[i].value_or(m_loop.now() - q.arrival));
    }
    if (times.empty())
        return p;
    constexpr std::ptrdiff_t quickPartDivisor = 5;
    const auto quick = times.begin() + static_cast<std::ptrdiff_t>(times.size()) / quickPartDivisor;
    std::nth_element(times.begin(), quick, times.end());
    p.queueingDelay = std::max(*quick - p.work, duration::zero());
    return p;
}

void shared_shards::end(const std::shared_ptr<query> &q)
{
    simulated_counts &counts = m_counts.at(q->of->rank);
    const bool inTime = m_loop.now() - q->arrival <= q->of->target;
    for (simulated_counts *each : {&counts, &countsOf(q->team)})
        ++(q->rejected > 0 ? each->failed : inTime ? each->inTarget : each->late);
    q->at->share.onQueryEnded(progress(*q), m_loop.now());
    m_running.remove(q);
}

void shared_shards::finish()
{
    m_loop.advance(seconds(60));
}

void shared_shards::resetCounts()
{
    for (auto &[rank, c] : m_counts)
        c = simulated_counts();
    for (auto &c : m_teamCounts)
        c = simulated_counts();
}

void shared_shards::slowDown(double share, double factor)
{
    for (auto &replicas : m_servers) {
        for (auto &server : replicas)
            server->setSlowness(m_random.fraction() < share ? factor : 1);
    }
}

simulated_counts shared_shards::counts(class_rank rank) const
{
    return m_counts.at(rank);
}

simulated_counts shared_shards::total() const
{
    simulated_counts all;
    for (const auto &[rank, c] : m_counts) {
        all.offered += c.offered;
        all.inTarget += c.inTarget;
        all.late += c.late;
        all.refused += c.refused;
        all.failed += c.failed;
    }
    return all;
}

double shared_shards::refusedShare() const
{
    const simulated_counts all = total();
    return static_cast<double>(all.refused) / std::max(all.offered, 1);
}

double shared_shards::usefulShare(duration length) const
{
    double work = 0;
    for (const simulated_class &c : m_spec.classes)
        work += m_counts.at(c.rank).inTarget * c.workMs * (1 + m_spec.tail * (tailFactor - 1));
    return work / (m_spec.replicas * m_spec.slots * toMilliseconds(length));
}

double shared_shards::lowestShare() const
{
    double least = 1;
    for (const auto &i : m_instances)
        least = std::min(least, i->share.share());
    return least;
}

} // namespace peridotwheel
