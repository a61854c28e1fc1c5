#include "peridotwheel/limits/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace peridotwheel;

namespace {

using class_map = std::map<class_name, class_spec>;

class_map classesOf(const std::set<unsigned> &ranks)
{
    class_map out;
    for (const unsigned rank : ranks) {
        class_spec spec;
        spec.name = class_name("rank-" + std::to_string(rank));
        spec.rank = class_rank(rank);
        spec.latencyTarget = milliseconds(100 * (rank + 1));
        out[spec.name] = spec;
    }
    return out;
}

/// Reference model: the ordering, displacement and expiry rules over a plain list, by linear
/// search.
class naive_queue
{
public:
    struct item
    {
        class_rank rank;
        time_point deadline;
        std::uint64_t id = 0;

        bool operator<(const item &b) const
        {
            return std::tie(rank, deadline, id) < std::tie(b.rank, b.deadline, b.id);
        }
    };

    explicit naive_queue(std::size_t maxQueued)
        : m_max(maxQueued)
    {
    }

    void setClasses(const class_map &classes)
    {
        const auto floors = rankFloors(classes);
        m_configured.clear();
        for (const auto &[rank, floor] : floors) {
            m_configured.insert(rank);
            m_floor[rank] = floor;
            m_dueAtDispatch.emplace(rank, m_dispatches);
        }
        removeUnusedRanks();
    }

    bool offer(const item &i, std::optional<std::uint64_t> &displaced)
    {
        m_dueAtDispatch.emplace(i.rank, m_dispatches);
        if (m_items.size() >= m_max && !displaceFor(i, displaced))
            return false;
        if (count(i.rank) == 0)
            m_dueAtDispatch[i.rank] = std::max(m_dueAtDispatch[i.rank], m_dispatches);
        m_items.push_back(i);
        return true;
    }

    std::vector<std::uint64_t> expire(time_point now, duration service)
    {
        std::vector<item> late;
        for (const item &i : m_items) {
            if (i.deadline - now < service)
                late.push_back(i);
        }
        std::sort(late.begin(), late.end(), [](const item &a, const item &b) {
            return std::tie(a.deadline, a.id) < std::tie(b.deadline, b.id);
        });
        std::vector<std::uint64_t> out;
        for (const item &i : late) {
            remove(i.id);
            out.push_back(i.id);
        }
        return out;
    }

    std::optional<std::uint64_t> take()
    {
        if (m_items.empty())
            return std::nullopt;
        class_rank rank = std::min_element(m_items.begin(), m_items.end())->rank;
        std::vector<std::pair<double, class_rank>> due;
        for (const auto &[r, at] : m_dueAtDispatch) {
            if (count(r) != 0 && floorOf(r) > 0 && at <= m_dispatches)
                due.emplace_back(at, r);
        }
        if (!due.empty())
            rank = std::min_element(due.begin(), due.end())->second;
        const double from =
                m_dueAtDispatch[rank] <= m_dispatches ? m_dueAtDispatch[rank] : m_dispatches;
        if (floorOf(rank) > 0)
            m_dueAtDispatch[rank] = from + 1 / floorOf(rank);
        ++m_dispatches;
        item best{rank, time_point::max(), ~0ull};
        for (const item &i : m_items) {
            if (i.rank == rank)
                best = std::min(best, i);
        }
        remove(best.id);
        return best.id;
    }

    std::size_t size() const { return m_items.size(); }

private:
    std::size_t count(class_rank r) const
    {
        return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(),
                                                      [&](const item &i) { return i.rank == r; }));
    }
    double floorOf(class_rank r) const { return m_floor.count(r) != 0 ? m_floor.at(r) : 0; }
    std::size_t quota(class_rank r) const
    {
        return std::max<std::size_t>(1, static_cast<std::size_t>(floorOf(r) * m_max));
    }

    bool displaceFor(const item &i, std::optional<std::uint64_t> &displaced)
    {
        const item *victim = nullptr;
        for (const item &c : m_items) {
            if (count(c.rank) > quota(c.rank) && (victim == nullptr || *victim < c))
                victim = &c;
        }
        const bool anyOver = victim != nullptr;
        if (!anyOver)
            victim = &*std::max_element(m_items.begin(), m_items.end());
        const bool entitled = anyOver && victim->rank != i.rank && count(i.rank) < quota(i.rank);
        if (!entitled && !(i < *victim))
            return false;
        displaced = victim->id;
        remove(victim->id);
        return true;
    }

    void remove(std::uint64_t id)
    {
        m_items.erase(std::find_if(m_items.begin(), m_items.end(),
                                   [&](const item &i) { return i.id == id; }));
        removeUnusedRanks();
    }

    void removeUnusedRanks()
    {
        for (auto it = m_dueAtDispatch.begin(); it != m_dueAtDispatch.end();) {
            const bool removable = count(it->first) == 0 && m_configured.count(it->first) == 0;
            if (removable)
                m_floor.erase(it->first);
            it = removable ? m_dueAtDispatch.erase(it) : std::next(it);
        }
    }

    std::size_t m_max;
    std::vector<item> m_items;
    std::set<class_rank> m_configured;
    std::map<class_rank, double> m_floor;
    std::map<class_rank, double> m_dueAtDispatch;
    double m_dispatches = 0;
};

} // namespace

// Guards against an indexed queue that differs from the reference model in order, floors,
// displacement or expiry while classes are added and removed. The service time is so short that the
// wait estimate refuses hardly any request.
RC_GTEST_PROP(admissionQueue, agreesWithTheNaiveQueue, ())
{
    const auto maxQueued = *rc::gen::inRange<std::size_t>(1, 12);
    admission_queue queue({maxQueued, true});
    naive_queue naive(maxQueued);
    const slot_state slots{1, 1, duration(1)};
    time_point now(seconds(1));
    std::uint64_t offers = 0; // refused requests use up ticket numbers too
    const auto start = classesOf({0, 1, 2});
    queue.setClasses(start);
    naive.setClasses(start);
    const auto steps = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0u, 10u), rc::gen::inRange(0u, 400u)));
    for (const auto &[action, value] : steps) {
        if (action < 6) {
            const class_rank rank(value % 4);
            const time_point deadline = now + milliseconds(10 + value);
            const auto got = queue.offer(rank, deadline, now, slots, 0.5);
            std::optional<std::uint64_t> displaced;
            ++offers;
            // Only a rank without a floor, whose class was removed, can have so long an estimate.
            if (got.reason == refusal_reason::TargetUnreachable) {
                RC_ASSERT(queue.estimatedWait(rank, slots) > duration(100));
                continue;
            }
            const bool taken = naive.offer({rank, deadline, offers}, displaced);
            RC_ASSERT(taken == (got.reason == refusal_reason::None));
            RC_ASSERT(displaced == got.displaced);
        }
        if (action == 6 || action == 7) {
            RC_ASSERT(queue.expire(now) == naive.expire(now, slots.serviceTime));
            const auto got = queue.take(now);
            RC_ASSERT(got.refused.empty());
            RC_ASSERT(got.run == naive.take());
        }
        if (action == 8)
            now += milliseconds(value / 8);
        if (action == 9) {
            std::set<unsigned> ranks;
            for (unsigned r = 0; r < 4; ++r) {
                if ((value >> r & 1) != 0)
                    ranks.insert(r);
            }
            queue.setClasses(classesOf(ranks));
            naive.setClasses(classesOf(ranks));
        }
        RC_ASSERT(queue.size() == naive.size());
    }
}

// Guards against floors that reserve more than half of the capacity.
TEST(admissionQueue, floorsAreHalfOfTheNormalisedWeights)
{
    auto classes = classesOf({0, 1, 2});
    const auto floors = rankFloors(classes);
    double total = 0;
    for (const auto &[rank, floor] : floors)
        total += floor;
    EXPECT_NEAR(total, 0.5, 1e-9);
    EXPECT_NEAR(floors.at(class_rank(0)) / floors.at(class_rank(1)), std::sqrt(2.0), 1e-9);
}
