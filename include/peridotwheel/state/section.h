#ifndef PERIDOTWHEEL_STATE_SECTION_H
#define PERIDOTWHEEL_STATE_SECTION_H

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <utility>

namespace peridotwheel {

/// Ends a subscription when destroyed.
class subscription
{
public:
    subscription() = default;
    explicit subscription(std::function<void()> end)
        : m_end(std::move(end))
    {
    }
    subscription(subscription &&other) noexcept
        : m_end(std::exchange(other.m_end, nullptr))
    {
    }
    subscription &operator=(subscription &&other) noexcept
    {
        std::swap(m_end, other.m_end);
        return *this;
    }
    subscription(const subscription &) = delete;
    subscription &operator=(const subscription &) = delete;
    ~subscription()
    {
        if (m_end)
            m_end();
    }

private:
    std::function<void()> m_end;
};

/// One typed part of the blackboard: an immutable value that its single writer replaces as a whole.
///
/// Readers may keep the shared pointer for as long as they need one consistent value, for example
/// for the lifetime of a query. Not thread-safe: all use is on the thread of the instance's loop.
template <class T>
class section
{
public:
    using value_ptr = std::shared_ptr<const T>;
    using change_hook = std::function<void(const value_ptr &)>;

    section()
        : m_value(std::make_shared<T>())
    {
    }
    section(const section &) = delete;
    section &operator=(const section &) = delete;

    const T &value() const { return *m_value; }
    const value_ptr &sharedValue() const { return m_value; }

    /// Replaces the value and calls the subscribers in the order of subscription.
    void set(T value)
    {
        m_value = std::make_shared<const T>(std::move(value));
        // A subscriber may end its own subscription, but no other, from within its hook.
        for (auto it = m_subscribers.begin(); it != m_subscribers.end();) {
            auto &hook = *it++;
            hook(m_value);
        }
    }

    /// Calls \p hook after each change until the returned subscription is destroyed.
    [[nodiscard]] subscription subscribe(change_hook hook) const
    {
        auto it = m_subscribers.insert(m_subscribers.end(), std::move(hook));
        return subscription([this, it] { m_subscribers.erase(it); });
    }

private:
    value_ptr m_value;
    mutable std::list<change_hook> m_subscribers; // mutable, since `subscribe` is const
};

} // namespace peridotwheel

#endif
