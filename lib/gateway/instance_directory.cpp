#include "instance_directory.h"

#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/support/bounded_json.h"
#include "peridotwheel/support/endpoint_text.h"

#include <algorithm>
#include <utility>

namespace peridotwheel {

namespace {

constexpr const char *peersField = "peers";
constexpr const char *dataCentreField = "dataCentre";
/// Instances are rarely replaced, so shares may be based on a list this old. The store charges for
/// each read.
constexpr duration readInterval = seconds(30);
/// Of the instances that start together, most have registered after the first delay and all after
/// the second.
constexpr duration delayedReadAfter = milliseconds(1200);
constexpr duration secondReadAfter = seconds(4);
/// An instance that receives no list from a peer reads the store itself after this delay.
constexpr duration noPeerReadAfter = seconds(3);
constexpr duration retryDelay = seconds(1);
/// After the store's return, the watchers read the list soon and again once all have registered.
constexpr duration returnReadAfter = milliseconds(200);
/// Delay before the list is read because of a new entry, and least time between two such reads:
/// many instances may start together.
constexpr duration entryReadDelay = milliseconds(50);
constexpr duration entryReadInterval = seconds(1);
/// All instances find at once that they are missing from the store. One registration in this time
/// keeps them below half of the writes that the store accepts.
constexpr duration registrationSpacing = milliseconds(5);
/// Time from the first list after a return until all instances have learned of it, beside the time
/// in which they register.
constexpr duration unlistedGrace = seconds(2);

std::string textOf(const nlohmann::json &j, const char *field)
{
    const auto it = j.find(field);
    return it != j.end() && it->is_string() ? it->get<std::string>() : "";
}

std::optional<member> memberOf(const platform_object &object)
{
    const auto document = parseBoundedJson(object.value);
    if (!document || !document.value().is_object())
        return std::nullopt;
    const auto peers = parseEndpoint(textOf(document.value(), peersField));
    if (!peers)
        return std::nullopt;
    member m;
    m.id = instance_id(object.key.name);
    m.dataCentre = data_centre_id(textOf(document.value(), dataCentreField));
    m.peers = *peers;
    return m;
}

} // namespace

instance_directory::instance_directory(event_loop &loop, platform_client &store, decision_log &log,
                                       member self, std::uint64_t seed,
                                       std::function<void(const member_map &)> onMembers)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_self(std::move(self))
    , m_random(seed)
    , m_onMembers(std::move(onMembers))
{
    m_members.emplace(m_self.id, m_self);
}

instance_directory::~instance_directory() = default;

void instance_directory::start(initial_read when)
{
    registerSelf();
    switch (when) {
    case initial_read::Immediate:
        m_readsWhenRegistered = true;
        return readAll();
    case initial_read::Delayed:
        return scheduleWithJitter(
                delayedReadAfter, [this] { readAll(); }, m_readTimer);
    case initial_read::IfNoPeerResponds:
        return scheduleWithJitter(
                noPeerReadAfter, [this] { readAll(); }, m_readTimer);
    }
}

void instance_directory::setReading(bool reading)
{
    if (m_reading == reading)
        return;
    m_reading = reading;
    if (m_hasBeenRead)
        scheduleRead();
}

void instance_directory::scheduleRead()
{
    m_readTimer.cancel();
    if (!m_reading)
        return;
    scheduleWithJitter(
            std::exchange(m_isSecondReadDue, false) ? secondReadAfter : readInterval,
            [this] { readAll(); }, m_readTimer);
}

void instance_directory::merge(const std::vector<platform_object> &objects, object_version revision)
{
    if (revision <= m_revision)
        return;
    applyList(objects, revision);
    scheduleRead();
}

void instance_directory::onStoreReturned(store_era era)
{
    if (!m_reading || !m_hasBeenRead || era <= m_revision.era() || era <= m_requestedEra)
        return;
    m_requestedEra = era;
    m_isSecondReadDue = true;
    scheduleWithJitter(
            returnReadAfter, [this] { readAll(); }, m_readTimer);
}

void instance_directory::onEntryKnown(object_version entry)
{
    if (!m_reading || !m_hasBeenRead || entry <= m_revision)
        return;
    const time_point now = m_loop.now();
    // After a return of the store many register again, and members that are missing are kept.
    if (now < m_nextEntryRead || now < m_keepUnlistedUntil)
        return;
    m_nextEntryRead = now + entryReadInterval;
    scheduleWithJitter(
            entryReadDelay, [this] { readAll(); }, m_readTimer);
}

duration instance_directory::registrationTime() const
{
    return scaled(registrationSpacing, static_cast<double>(m_members.size()));
}

void instance_directory::scheduleRegistration()
{
    m_registrationTimer = m_loop.schedule(scaled(registrationTime(), m_random.fraction()),
                                          [this] { registerSelf(); });
}

void instance_directory::keepUnlistedMembers(const member_map &former)
{
    for (const auto &[id, m] : former)
        m_members.emplace(id, m);
}

void instance_directory::scheduleWithJitter(duration delay, event_loop::task next, timer &slot)
{
    // Jitter keeps instances that started together from calling the store together.
    const double factor = 0.75 + 0.5 * m_random.fraction();
    slot = m_loop.schedule(scaled(delay, factor), std::move(next));
}

void instance_directory::registerSelf()
{
    const nlohmann::json spec{{peersField, endpointText(m_self.peers)},
                              {dataCentreField, m_self.dataCentre.value()}};
    m_store.put({instanceKind, m_self.id.value()}, spec.dump(), write_condition::absent(),
                [this, alive = std::weak_ptr<int>(m_alive)](const result<object_version> &written) {
                    if (!alive.expired())
                        onRegistered(written);
                });
}

void instance_directory::onRegistered(const result<object_version> &written)
{
    if (written) {
        m_ownVersion = written.value();
        // Only a list with the own entry shows the instances that were registered before.
        if (std::exchange(m_readsWhenRegistered, false) && m_hasBeenRead &&
            m_revision < *m_ownVersion)
            scheduleWithJitter(
                    entryReadDelay, [this] { readAll(); }, m_ownReadTimer);
        return;
    }
    // A conflict means that an earlier run under the same id left its object, which serves as well.
    if (written.error().kind == error_kind::Conflict)
        return;
    m_log.state("instance_entry_failed").add("reason", written.error().message);
    scheduleWithJitter(
            retryDelay, [this] { registerSelf(); }, m_registrationTimer);
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
        scheduleWithJitter(
                retryDelay, [this] { readAll(); }, m_readTimer);
        return;
    }
    applyList(read.value().changed, read.value().next);
    scheduleRead();
}

void instance_directory::applyList(const std::vector<platform_object> &objects,
                                   object_version revision)
{
    m_hasBeenRead = true;
    bool hasOwn = false;
    const auto isSame = [](const platform_object &a, const platform_object &b) {
        return a.key.name == b.key.name && a.version == b.version;
    };
    if (!std::equal(objects.begin(), objects.end(), m_objects.begin(), m_objects.end(), isSame))
        m_lastChangeRevision = revision;
    if (m_revision.value() != 0 && revision.era() > m_revision.era()) {
        m_keepUnlistedUntil = m_loop.now() + unlistedGrace + registrationTime();
        m_log.state("instances_of_new_era")
                .add("era", static_cast<std::int64_t>(revision.era().value()))
                .add("listed", static_cast<std::int64_t>(objects.size()))
                .add("known", static_cast<std::int64_t>(m_members.size()));
    }
    m_objects = objects;
    m_revision = revision;
    const member_map former = std::exchange(m_members, {});
    m_members.emplace(m_self.id, m_self);
    for (const auto &object : objects) {
        if (object.key.name == m_self.id.value()) {
            m_ownVersion = object.version;
            hasOwn = true;
            continue;
        }
        if (auto m = memberOf(object))
            m_members.emplace(m->id, std::move(*m));
    }
    m_isListed = hasOwn;
    if (m_loop.now() < m_keepUnlistedUntil)
        keepUnlistedMembers(former);
    const bool wasRemoved =
            !hasOwn && m_ownVersion && *m_ownVersion <= revision && !m_isDeregistered;
    if (wasRemoved) {
        m_log.state("instance_entry_missing")
                .add("at", static_cast<std::int64_t>(revision.value()));
        const bool isLostByReturn = m_ownVersion->era() < revision.era();
        m_ownVersion.reset();
        if (isLostByReturn)
            scheduleRegistration();
        else
            registerSelf();
    }
    m_onMembers(m_members);
}

void instance_directory::removeLost(const instance_id &id)
{
    for (const auto &object : m_objects) {
        if (object.key.name != id.value())
            continue;
        m_log.state("instance_lost").add("lost", id.value());
        m_store.remove(
                object.key, object.version,
                [this, id, alive = std::weak_ptr<int>(m_alive)](const result<void> &removed) {
                    // Either the instance has registered again, or the next probes will fail again
                    // and lead to another attempt.
                    if (!removed && !alive.expired())
                        m_log.state("instance_entry_stays")
                                .add("lost", id.value())
                                .add("reason", removed.error().message);
                });
    }
}

void instance_directory::deregister()
{
    m_isDeregistered = true;
    m_registrationTimer.cancel();
    m_readTimer.cancel();
    m_ownReadTimer.cancel();
    if (!m_ownVersion)
        return;
    m_store.remove(
            {instanceKind, m_self.id.value()}, *m_ownVersion,
            [this, alive = std::weak_ptr<int>(m_alive)](const result<void> &removed) {
                // A remaining entry only makes the shares of the other instances smaller.
                if (!removed && !alive.expired())
                    m_log.state("instance_entry_stays").add("reason", removed.error().message);
            });
}

} // namespace peridotwheel
