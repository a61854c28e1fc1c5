#include "instance_directory.h"

#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/support/bounded_json.h"
#include "peridotwheel/support/endpoint_text.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr const char *instanceKind = "instances";
constexpr const char *peersField = "peers";
/// Instances are replaced now and then; shares may be this old. Each read is a priced call.
constexpr duration readInterval = seconds(15);
/// Right after a start the others may still be entering.
constexpr duration firstReadInterval = seconds(3);
constexpr duration retryDelay = seconds(2);

std::optional<endpoint> peersOf(const platform_object &object)
{
    const auto document = parseBoundedJson(object.value);
    if (!document || !document.value().is_object())
        return std::nullopt;
    const auto it = document.value().find(peersField);
    if (it == document.value().end() || !it->is_string())
        return std::nullopt;
    return parseEndpoint(it->get<std::string>());
}

} // namespace

instance_directory::instance_directory(event_loop &loop, platform_client &store, decision_log &log,
                                       instance_id id, endpoint peers, std::uint64_t seed,
                                       std::function<void(std::size_t)> onCount)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_id(std::move(id))
    , m_peers(std::move(peers))
    , m_random(seed)
    , m_onCount(std::move(onCount))
{
}

instance_directory::~instance_directory() = default;

void instance_directory::start()
{
    enter();
    again(milliseconds(500), [this] { readAll(); }, m_readTimer);
}

void instance_directory::again(duration delay, event_loop::task next, timer &slot)
{
    // Spread, so that instances that started together do not call together.
    const double factor = 0.75 + 0.5 * m_random.fraction();
    slot = m_loop.schedule(fromMilliseconds(toMilliseconds(delay) * factor), std::move(next));
}

void instance_directory::enter()
{
    const nlohmann::json spec{{peersField, endpointText(m_peers)}};
    m_store.put({instanceKind, m_id.value()}, spec.dump(), write_condition::absent(),
                [this, alive = std::weak_ptr<int>(m_alive)](const result<object_version> &written) {
                    if (!alive.expired())
                        onEntered(written);
                });
}

void instance_directory::onEntered(const result<object_version> &written)
{
    if (written) {
        m_own = written.value();
        return;
    }
    // The object of an earlier run under the same id serves as well.
    if (written.error().kind == error_kind::Conflict)
        return;
    m_log.state("instance_entry_failed").add("reason", written.error().message);
    again(retryDelay, [this] { enter(); }, m_enterTimer);
}

void instance_directory::readAll()
{
    m_store.list(instanceKind,
                 [this, alive = std::weak_ptr<int>(m_alive)](const result<watch_result> &read) {
                     if (!alive.expired())
                         onRead(read);
                 });
}

void instance_directory::onRead(const result<watch_result> &read)
{
    if (!read) {
        m_log.decision("instances_not_read").add("reason", read.error().message);
        again(retryDelay, [this] { readAll(); }, m_readTimer);
        return;
    }
    const bool isFirst = m_others.empty();
    m_others.clear();
    for (const auto &object : read.value().changed) {
        if (object.key.name == m_id.value()) {
            m_own = object.version;
            continue;
        }
        if (const auto peers = peersOf(object))
            m_others.emplace(instance_id(object.key.name), *peers);
    }
    m_onCount(m_others.size() + 1);
    again(isFirst ? firstReadInterval : readInterval, [this] { readAll(); }, m_readTimer);
}

void instance_directory::leave()
{
    m_enterTimer.cancel();
    m_readTimer.cancel();
    if (!m_own)
        return;
    m_store.remove({instanceKind, m_id.value()}, *m_own, [](const result<void> &) {
        // An entry that stays only makes the others' shares smaller.
    });
}

std::vector<endpoint> instance_directory::addresses(const std::vector<endpoint> &seeds) const
{
    std::vector<endpoint> out;
    for (const auto &[id, peers] : m_others)
        out.push_back(peers);
    for (const auto &seed : seeds) {
        const bool isKnown = std::find(out.begin(), out.end(), seed) != out.end();
        if (!isKnown && seed != m_peers)
            out.push_back(seed);
    }
    return out;
}

} // namespace peridotwheel
