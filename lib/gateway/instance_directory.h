#ifndef PERIDOTWHEEL_LIB_GATEWAY_INSTANCE_DIRECTORY_H
#define PERIDOTWHEEL_LIB_GATEWAY_INSTANCE_DIRECTORY_H

#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace peridotwheel {

class decision_log;

/// The instances that share the limits of servers, each as one object in the store that it writes
/// at its start and removes at its end.
///
/// The object of an instance that was lost stays. Shares are then smaller than they could be, which
/// keeps every bound.
class instance_directory
{
public:
    instance_directory(event_loop &loop, platform_client &store, decision_log &log, instance_id id,
                       endpoint peers, std::uint64_t seed,
                       std::function<void(std::size_t)> onCount);
    instance_directory(const instance_directory &) = delete;
    instance_directory &operator=(const instance_directory &) = delete;
    ~instance_directory();

    void start();
    /// Removes the own object; nothing follows if that fails.
    void leave();
    /// Where other instances answer, those known from the store first, then \p seeds.
    std::vector<endpoint> addresses(const std::vector<endpoint> &seeds) const;

private:
    void enter();
    void onEntered(const result<object_version> &written);
    void readAll();
    void onRead(const result<watch_result> &read);
    void again(duration delay, event_loop::task next, timer &slot);

    event_loop &m_loop;
    platform_client &m_store;
    decision_log &m_log;
    instance_id m_id;
    endpoint m_peers;
    random_source m_random;
    std::function<void(std::size_t)> m_onCount;
    std::map<instance_id, endpoint> m_others;
    std::optional<object_version> m_own;
    timer m_enterTimer;
    timer m_readTimer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
