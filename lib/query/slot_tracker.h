#ifndef PERIDOTWHEEL_LIB_QUERY_SLOT_TRACKER_H
#define PERIDOTWHEEL_LIB_QUERY_SLOT_TRACKER_H

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace peridotwheel {

/// Counts, for each service, the queries that wait for a reply of it, and tracks the highest count
/// at constant cost. The highest count is the number of slots in use.
class slot_tracker
{
public:
    /// \p waiting is the count of one service. It must be changed only by this class.
    void enter(std::uint32_t &waiting);
    void leave(std::uint32_t &waiting);
    std::uint32_t inUse() const { return m_highest; }

    /// Called when `inUse` has decreased.
    std::function<void()> onDecrease;

private:
    /// Number of services by their count; services without waiting queries are left out.
    std::vector<std::uint32_t> m_servicesByCount;
    std::uint32_t m_highest = 0;
};

/// Counts one query as waiting for one service until it is destroyed or `release` is called.
class slot_guard
{
public:
    slot_guard() = default;
    slot_guard(slot_tracker &tracker, std::uint32_t &waiting)
        : m_tracker(&tracker)
        , m_waiting(&waiting)
    {
        tracker.enter(waiting);
    }
    slot_guard(slot_guard &&other) noexcept
        : m_tracker(std::exchange(other.m_tracker, nullptr))
        , m_waiting(other.m_waiting)
    {
    }
    slot_guard &operator=(slot_guard &&other) noexcept
    {
        std::swap(m_tracker, other.m_tracker);
        std::swap(m_waiting, other.m_waiting);
        return *this;
    }
    slot_guard(const slot_guard &) = delete;
    slot_guard &operator=(const slot_guard &) = delete;
    ~slot_guard() { release(); }

    void release()
    {
        if (m_tracker != nullptr)
            std::exchange(m_tracker, nullptr)->leave(*m_waiting);
    }

private:
    slot_tracker *m_tracker = nullptr;
    std::uint32_t *m_waiting = nullptr;
};

} // namespace peridotwheel

#endif
