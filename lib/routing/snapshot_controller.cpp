#include "peridotwheel/routing/snapshot_controller.h"

#include "peridotwheel/platform/watcher_election.h"
#include "peridotwheel/support/bounded_json.h"
#include "peridotwheel/support/log.h"

namespace peridotwheel {

const std::string snapshotKind = "snapshots";
const std::string currentSnapshotName = "current";

namespace {

result<index_version> currentVersionFromJson(const std::string &text)
{
    const auto parsed = parseBoundedJson(text);
    if (!parsed)
        return parsed.error();
    const auto &value = parsed.value();
    if (!value.is_object() || !value.contains("version") || !value["version"].is_number_unsigned())
        return failure(error_kind::InvalidArgument, "expected {\"version\":NUMBER}");
    return index_version(value["version"].get<std::uint64_t>());
}

} // namespace

snapshot_controller::snapshot_controller(event_loop &loop, blackboard &board,
                                         platform_client &platform, counter_set &counters,
                                         event_sink events, std::uint64_t seed, member self,
                                         object_watcher_options options)
    : m_loop(loop)
    , m_board(board)
    , m_platform(platform)
    , m_events(std::move(events))
    , m_adopted(counters.at("snapshots.adopted"))
    , m_refused(counters.at("snapshots.refused"))
    , m_self(std::move(self))
    , m_watcher(loop, platform, counters, snapshotKind, seed, options,
                [this](const auto &objects) { onObjects(objects); })
    , m_this(std::make_shared<snapshot_controller *>(this))
{
    auto elect = [this](const member_map &members) {
        m_watcher.setActive(isWatcher(members, m_self, snapshotKind));
    };
    m_members = board.members.subscribe([elect](const auto &members) { elect(*members); });
    elect(board.members.value());
}

void snapshot_controller::start()
{
    m_watcher.start();
}

index_version snapshot_controller::version() const
{
    const auto &current = m_board.snapshots.value().current;
    return current ? current->version : index_version();
}

void snapshot_controller::onObjects(const std::vector<platform_object> &objects)
{
    for (const auto &object : objects) {
        if (object.key.name != currentSnapshotName) {
            onMapObject(object);
            continue;
        }
        const auto namedVersion = currentVersionFromJson(object.value);
        if (!namedVersion)
            reportRefused(object.key.name, namedVersion.error().message);
        else
            m_targetVersion = std::max(m_targetVersion, namedVersion.value());
    }
    adoptTarget();
}

void snapshot_controller::onMapObject(const platform_object &object)
{
    auto map = shardMapFromJson(object.value);
    if (!map)
        return reportRefused(object.key.name, map.error().message);
    if (std::to_string(map.value().version.value()) != object.key.name)
        return reportRefused(object.key.name,
                             "the object name differs from the version in the map");
    const index_version v = map.value().version;
    if (v <= version())
        return;
    m_published[v] = std::make_shared<const shard_map>(std::move(map).value());
    // The target map must stay. Of the others, those with the lowest versions become current first.
    while (m_published.size() > maxRetainedMaps) {
        auto last = std::prev(m_published.end());
        m_published.erase(last->first == m_targetVersion ? m_published.begin() : last);
    }
}

void snapshot_controller::adoptTarget()
{
    if (m_targetVersion <= version())
        return;
    auto it = m_published.find(m_targetVersion);
    if (it == m_published.end())
        return fetchTarget();
    adopt(it->second, version_source::Platform);
}

/// Reads the target map from the platform: a watch may report the `current` object before the map
/// that it names.
void snapshot_controller::fetchTarget()
{
    if (m_fetching)
        return;
    m_fetching = true;
    std::weak_ptr<snapshot_controller *> weak = m_this;
    m_platform.get({snapshotKind, std::to_string(m_targetVersion.value())},
                   [weak, requestedVersion = m_targetVersion](const result<platform_object> &read) {
                       const auto self = weak.lock();
                       if (!self)
                           return;
                       (*self)->m_fetching = false;
                       if (read)
                           (*self)->onMapObject(read.value());
                       (*self)->onFetched(requestedVersion);
                   });
}

void snapshot_controller::onFetched(index_version requestedVersion)
{
    if (m_published.count(requestedVersion) != 0 || m_targetVersion != requestedVersion)
        return adoptTarget();
    m_retry = m_loop.schedule(fetchRetryDelay, [this] { adoptTarget(); });
}

bool snapshot_controller::offer(const std::string &text, index_version v, version_source source)
{
    if (v <= version())
        return false;
    auto map = shardMapFromJson(text);
    if (!map || map.value().version != v) {
        reportRefused(std::to_string(v.value()),
                      map ? "the version in the map differs from the version in the peer's digest"
                          : map.error().message);
        return false;
    }
    adopt(std::make_shared<const shard_map>(std::move(map).value()), source);
    return true;
}

// By value: \p map may be an element of `m_published`, which is erased here.
void snapshot_controller::adopt(shard_map_ptr map, version_source source)
{
    snapshot_set next = m_board.snapshots.value();
    const index_version v = map->version;
    const std::size_t shards = map->shards.size();
    m_text = toJson(*map);
    next.retained[v] = map;
    next.current = std::move(map);
    while (next.retained.size() > maxRetainedMaps)
        next.retained.erase(next.retained.begin());
    m_published.erase(m_published.begin(), m_published.upper_bound(v));
    m_adopted.add();
    m_board.snapshots.set(std::move(next));
    LOG(INFO) << "event=snapshot-adopted version=" << v << " shards=" << shards;
    if (m_events) {
        timeline_event event;
        event.kind = event_kind::Snapshot;
        event.text = "snapshot version=" + std::to_string(v.value());
        m_events(std::move(event));
    }
    if (m_onAdopted)
        m_onAdopted(source);
}

void snapshot_controller::reportRefused(const std::string &what, const std::string &why)
{
    m_refused.add();
    LOG(ERROR) << "event=snapshot-refused object=" << logValue(what) << " reason=" << logValue(why);
}

} // namespace peridotwheel
