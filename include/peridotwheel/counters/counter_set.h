#ifndef PERIDOTWHEEL_COUNTERS_COUNTER_SET_H
#define PERIDOTWHEEL_COUNTERS_COUNTER_SET_H

#include <cstdint>
#include <map>
#include <string>

namespace peridotwheel {

/// A monotonically increasing counter (`add`), or a gauge (`set`).
class counter
{
public:
    void add(std::uint64_t n = 1) { m_value += n; }
    void set(std::uint64_t value) { m_value = value; }
    std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0;
};

/// The counters of one instance, by name. Names are listed in docs/counters.md with their units.
///
/// Owners look up a counter once and keep the reference, which stays valid as long as the set.
class counter_set
{
public:
    counter &at(const std::string &name) { return m_counters[name]; }
    const std::map<std::string, counter> &all() const { return m_counters; }

private:
    std::map<std::string, counter> m_counters;
};

} // namespace peridotwheel

#endif
