#include "view_compressor.h"

#include "view_codec.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Shorter lists are sent as they are.
constexpr std::size_t leastListBytes = 2048;
/// Instances that request the changes since different revisions get different lists.
constexpr std::size_t maxCachedLists = 4;

bool isLong(const std::vector<platform_object> &objects)
{
    std::size_t bytes = 0;
    return std::any_of(objects.begin(), objects.end(), [&bytes](const platform_object &object) {
        bytes += object.key.name.size() + object.value.size();
        return bytes >= leastListBytes;
    });
}

} // namespace

std::shared_ptr<const compressed_objects>
view_compressor::listOf(list_cache &cache, const std::vector<platform_object> &objects,
                        object_version since, object_version revision)
{
    const auto known = std::find_if(cache.begin(), cache.end(), [&](const cached_list &each) {
        return each.since == since && each.revision == revision && each.objects == objects.size();
    });
    if (known != cache.end())
        return known->list;
    auto compressed = compressObjects(objects);
    if (!compressed)
        return nullptr;
    cache.push_back({since, revision, objects.size(),
                     std::make_shared<compressed_objects>(std::move(compressed).value())});
    if (cache.size() > maxCachedLists)
        cache.pop_front();
    return cache.back().list;
}

void view_compressor::compress(view_snapshot &snapshot)
{
    if (isLong(snapshot.servers)) {
        snapshot.compressedServers =
                listOf(m_servers, snapshot.servers,
                       snapshot.serversSince.value_or(object_version()), snapshot.serversRevision);
        if (snapshot.compressedServers)
            snapshot.servers.clear();
    }
    if (isLong(snapshot.instances)) {
        snapshot.compressedInstances = listOf(m_instances, snapshot.instances, object_version(),
                                              snapshot.instancesRevision);
        if (snapshot.compressedInstances)
            snapshot.instances.clear();
    }
}

} // namespace peridotwheel
