#ifndef PERIDOTWHEEL_SUPPORT_UNITS_H
#define PERIDOTWHEEL_SUPPORT_UNITS_H

#include <chrono>
#include <cstdint>

namespace peridotwheel {

/// Time base of an `event_loop`. Only the loop reads the clock; other code gets times as arguments.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using duration = monotonic_clock::duration;
using time_point = monotonic_clock::time_point;
/// Calendar time in milliseconds since the Unix epoch; may step, so no decision about safety uses
/// it without a margin.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using std::chrono::milliseconds;
using std::chrono::seconds;

inline double toMilliseconds(duration d)
{
    return static_cast<double>(d.count()) / 1000.0;
}

inline duration fromMilliseconds(double ms)
{
    return duration(static_cast<duration::rep>(ms * 1000.0));
}

/// \p d times \p factor, rounded towards zero.
inline duration scaled(duration d, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(d.count()) * factor));
}

/// A rate of data transfer.
class byte_rate
{
public:
    constexpr explicit byte_rate(double bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }
    static constexpr byte_rate fromMegabits(double megabitsPerSecond)
    {
        return byte_rate(megabitsPerSecond * 1e6 / 8);
    }

    constexpr double bytesPerSecond() const { return m_bytesPerSecond; }
    /// Returns the number of bytes transferred in \p d.
    double bytesIn(duration d) const { return m_bytesPerSecond * toMilliseconds(d) / 1000.0; }
    /// Returns the time to transfer \p bytes.
    duration timeFor(std::size_t bytes) const
    {
        return fromMilliseconds(1000.0 * static_cast<double>(bytes) / m_bytesPerSecond);
    }

private:
    double m_bytesPerSecond;
};

/// A number of requests in each second.
class request_rate
{
public:
    constexpr explicit request_rate(double perSecond)
        : m_perSecond(perSecond)
    {
    }

    constexpr double perSecond() const { return m_perSecond; }

    friend bool operator==(request_rate a, request_rate b)
    {
        return a.m_perSecond == b.m_perSecond;
    }
    friend bool operator!=(request_rate a, request_rate b) { return !(a == b); }

private:
    double m_perSecond;
};

} // namespace peridotwheel

#endif
