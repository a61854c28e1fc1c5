#ifndef PERIDOTWHEEL_SUPPORT_RANDOM_SOURCE_H
#define PERIDOTWHEEL_SUPPORT_RANDOM_SOURCE_H

#include <cstdint>
#include <random>

namespace peridotwheel {

/// A seeded pseudo-random generator; one per owner, so that a seed reproduces a run.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::uint64_t next() { return m_engine(); }
    /// Uniform in [0, bound); \p bound must be positive.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }
    /// Uniform in [0, 1).
    double fraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }
    std::mt19937_64 &engine() { return m_engine; }

private:
    std::mt19937_64 m_engine;
};

} // namespace peridotwheel

#endif
