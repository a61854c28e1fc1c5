#ifndef PERIDOTWHEEL_LIB_GATEWAY_VIEW_COMPRESSOR_H
#define PERIDOTWHEEL_LIB_GATEWAY_VIEW_COMPRESSOR_H

#include "peridotwheel/gateway/cluster_view.h"

#include <deque>
#include <memory>

namespace peridotwheel {

/// Compresses the long lists of views that are sent to other instances.
///
/// Answers the load after a change of many servers or instances, when all instances of a data
/// centre request the same lists at once: a list is compressed once for all of them.
class view_compressor
{
public:
    /// Replaces the long lists of \p snapshot by compressed ones.
    void compress(view_snapshot &snapshot);

private:
    struct cached_list
    {
        object_version since;
        object_version revision;
        std::size_t objects = 0;
        std::shared_ptr<const compressed_objects> list;
    };
    using list_cache = std::deque<cached_list>;

    static std::shared_ptr<const compressed_objects>
    listOf(list_cache &cache, const std::vector<platform_object> &objects, object_version since,
           object_version revision);

    list_cache m_servers;
    list_cache m_instances;
};

} // namespace peridotwheel

#endif
