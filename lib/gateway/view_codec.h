#ifndef PERIDOTWHEEL_LIB_GATEWAY_VIEW_CODEC_H
#define PERIDOTWHEEL_LIB_GATEWAY_VIEW_CODEC_H

#include "peridotwheel/gateway/cluster_view.h"

#include <optional>
#include <string>

namespace peridotwheel {

/// State of an instance that requests the view of another one, which leaves out what the requester
/// already has.
struct view_position
{
    configuration_version configuration;
    object_version serversRevision;
    object_version instancesRevision;
    /// Address at which the requester answers such requests itself.
    std::optional<endpoint> requesterAddress;
    /// The requester's measurements of the servers; if present, the reply includes hints.
    std::optional<server_reports> reports;
    /// Whether the requester fetches configurations separately, in chunks. Earlier versions of the
    /// program do not.
    bool fetchesConfiguration = false;
    /// Whether the requester reads compressed lists. Earlier versions of the program do not.
    bool readsCompressedLists = false;
    /// Position at which the store took the requester's own entry, if its process wrote one.
    std::optional<object_version> registeredAt;
};

std::string encodePosition(const view_position &position);
result<view_position> decodePosition(const std::string &text);
/// Limit on the text of a list that another instance sends.
constexpr std::size_t maxListBytes = 16 * 1024 * 1024;
result<compressed_objects> compressObjects(const std::vector<platform_object> &objects);
std::string encodeSnapshot(const view_snapshot &snapshot);
/// Object kinds to set on decoded objects, since encoded ones carry only their names.
struct view_kinds
{
    std::string configuration;
    std::string servers;
    std::string instances;
};
result<view_snapshot> decodeSnapshot(const std::string &text, const view_kinds &kinds);

} // namespace peridotwheel

#endif
