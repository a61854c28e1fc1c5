#include "slope_fleet.h"

namespace peridotwheel {

namespace {

/// One way between nodes.
constexpr duration networkDelay = milliseconds(1);

class hook_responder : public http_responder
{
public:
    explicit hook_responder(std::function<void(const http_reply &)> hook)
        : m_hook(std::move(hook))
    {
    }
    void reply(const http_reply &r) override
    {
        if (const auto hook = std::exchange(m_hook, nullptr))
            hook(r);
    }
    void onClientDisconnected(std::function<void()>) override {}
    void drop() override { m_hook = nullptr; }

private:
    std::function<void(const http_reply &)> m_hook;
};

} // namespace

void memory_platform::later(event_loop::task fn)
{
    if (m_random == nullptr)
        return m_loop.post(std::move(fn));
    m_timers.push_back(m_loop.schedule(milliseconds(2 + m_random->below(11)), std::move(fn)));
}

std::size_t memory_platform::storedBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[key, object] : m_objects)
        bytes += object.value.size();
    return bytes;
}

void memory_platform::get(const object_key &key, hook<platform_object> done)
{
    ++m_reads;
    later([this, key, done = std::move(done)] {
        const auto it = m_objects.find({key.kind, key.name});
        result<platform_object> out = failure(error_kind::NotFound, "no such object");
        if (it != m_objects.end())
            out = it->second;
        later([done, out] { done(out); });
    });
}

void memory_platform::put(const object_key &key, const std::string &value,
                          write_condition condition, hook<object_version> done)
{
    ++m_writes;
    later([this, key, value, condition, done = std::move(done)] {
        const auto it = m_objects.find({key.kind, key.name});
        const bool exists = it != m_objects.end();
        const bool matches =
                condition.version ? exists && it->second.version == *condition.version : !exists;
        result<object_version> out = failure(error_kind::Conflict, "changed");
        if (matches) {
            out = object_version(++m_revision);
            m_objects[{key.kind, key.name}] = {key, out.value(), value};
        }
        later([done, out] { done(out); });
    });
}

void memory_platform::remove(const object_key &key, object_version, hook<void> done)
{
    ++m_writes;
    m_objects.erase({key.kind, key.name});
    later([done = std::move(done)] { done(success()); });
}

void memory_platform::list(const std::string &kind, hook<watch_result> done)
{
    ++m_reads;
    watch_result out;
    out.next = object_version(m_revision);
    for (const auto &[key, object] : m_objects) {
        if (key.first == kind)
            out.changed.push_back(object);
    }
    later([done = std::move(done), out] { done(out); });
}

void memory_network::after(duration delay, event_loop::task fn)
{
    const auto key = m_next++;
    m_timers[key] = m_loop.schedule(delay, [this, key, fn = std::move(fn)] {
        const timer own = std::move(m_timers[key]);
        m_timers.erase(key);
        fn();
    });
}

void memory_network::send(const endpoint &to, const http_request &request, duration timeout,
                          outcome_hook done)
{
    ++messages;
    bytesSent += wireBytes(request);
    const auto finish = [this, done](const http_reply &reply) {
        bytesReceived += wireBytes(reply);
        after(networkDelay, [done, reply] { done({transport_failure::None, reply}); });
    };
    const auto body = bodies.find(to);
    if (body != bodies.end())
        return finish({200, {}, body->second});
    if (nodes.count(to) == 0)
        return after(timeout, [done] { done({transport_failure::MayHaveRun, {}}); });
    after(networkDelay, [this, to, request, finish] {
        const auto node = nodes.find(to);
        if (node != nodes.end())
            node->second(request, std::make_shared<hook_responder>(finish));
    });
}

fleet_node::fleet_node(event_loop &l, memory_network &network, std::size_t index,
                       std::uint64_t seed, const member &self)
    : platform(l)
    , membership(l, board, platform, counters, event_sink(), seed + 4 * index, self)
    , configuration(l, board, platform, counters, event_sink(), seed + 4 * index + 1, self)
    , snapshots(l, board, platform, counters, event_sink(), seed + 4 * index + 2, self)
    , gossip(l, network, membership, configuration, snapshots, counters, seed + 4 * index + 3)
    , service(counters, [this](const exchange &message) { return gossip.answer(message); })
{
    network.nodes[self.peers] = [this](const auto &request, const auto &responder) {
        service.handle(request, responder);
    };
}

void fleet_node::learn(std::size_t count, const std::function<member(std::size_t)> &memberOf)
{
    std::vector<member> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back(memberOf(i));
    membership.merge(all);
}

void fleet_node::forgetNews()
{
    // A message that carries no more than the members repeated in turn holds no news.
    constexpr std::size_t repeated = 6;
    while (membership.updatesFor(membership.self().id).size() > repeated)
        ;
}

} // namespace peridotwheel
