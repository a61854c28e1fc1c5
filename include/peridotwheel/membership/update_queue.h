#ifndef PERIDOTWHEEL_MEMBERSHIP_UPDATE_QUEUE_H
#define PERIDOTWHEEL_MEMBERSHIP_UPDATE_QUEUE_H

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace peridotwheel {

/// Keys of recent updates, each of which is sent a limited number of times, in round-robin order.
///
/// Holds each key once, so its size is bounded by the number of recently changed keys.
template <class Key>
class update_queue
{
public:
    /// Queues \p key for \p transmits messages; restarts the count if the key is queued already.
    void add(const Key &key, unsigned transmits)
    {
        auto [it, isNew] = m_left.emplace(key, transmits);
        it->second = transmits;
        if (isNew)
            m_order.push_back(key);
    }

    /// Returns up to \p count keys for the next message, least recently sent ones first.
    std::vector<Key> take(std::size_t count)
    {
        std::vector<Key> out;
        const std::size_t total = std::min(count, m_order.size());
        out.reserve(total);
        for (std::size_t i = 0; i < total; ++i) {
            Key key = std::move(m_order.front());
            m_order.pop_front();
            auto it = m_left.find(key);
            if (--it->second > 0)
                m_order.push_back(key);
            else
                m_left.erase(it);
            out.push_back(std::move(key));
        }
        return out;
    }

    bool empty() const { return m_order.empty(); }

private:
    std::deque<Key> m_order;
    std::map<Key, unsigned> m_left;
};

} // namespace peridotwheel

#endif
