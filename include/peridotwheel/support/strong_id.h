#ifndef PERIDOTWHEEL_SUPPORT_STRONG_ID_H
#define PERIDOTWHEEL_SUPPORT_STRONG_ID_H

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace peridotwheel {

/// A value whose type differs for each \p Tag.
///
/// Conversions are explicit in both directions, so that passing a server id where an
/// instance id is expected does not compile.
template <class Tag, class Value = std::string>
class strong_id
{
public:
    using value_type = Value;

    strong_id() = default;
    explicit strong_id(Value value)
        : m_value(std::move(value))
    {
    }

    const Value &value() const { return m_value; }

    friend bool operator==(const strong_id &a, const strong_id &b)
    {
        return a.m_value == b.m_value;
    }
    friend bool operator!=(const strong_id &a, const strong_id &b)
    {
        return a.m_value != b.m_value;
    }
    friend bool operator<(const strong_id &a, const strong_id &b) { return a.m_value < b.m_value; }
    friend bool operator>(const strong_id &a, const strong_id &b) { return b < a; }
    friend bool operator<=(const strong_id &a, const strong_id &b) { return !(b < a); }
    friend bool operator>=(const strong_id &a, const strong_id &b) { return !(a < b); }
    friend std::ostream &operator<<(std::ostream &out, const strong_id &id)
    {
        return out << id.m_value;
    }

private:
    Value m_value{};
};

} // namespace peridotwheel

template <class Tag, class Value>
struct std::hash<peridotwheel::strong_id<Tag, Value>>
{
    std::size_t operator()(const peridotwheel::strong_id<Tag, Value> &id) const
    {
        return std::hash<Value>()(id.value());
    }
};

#endif
