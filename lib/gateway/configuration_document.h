#ifndef PERIDOTWHEEL_LIB_GATEWAY_CONFIGURATION_DOCUMENT_H
#define PERIDOTWHEEL_LIB_GATEWAY_CONFIGURATION_DOCUMENT_H

#include "peridotwheel/gateway/route.h"
#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/support/error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotwheel {

/// Limit on the text of a configuration that another instance offers.
constexpr std::size_t maxConfigurationBytes = 8 * 1024 * 1024;

/// Identifies one compressed form of a configuration, whichever instance sends it.
using document_checksum = strong_id<struct document_checksum_tag, std::uint64_t>;

/// A configuration in the form in which instances send it to each other.
struct configuration_document
{
    configuration_version version;
    /// Name and revision of the object in the store.
    std::string name;
    object_version revision;
    /// Size of the object's value before compression.
    std::size_t textBytes = 0;
    document_checksum checksum;
    std::string compressed;
};

result<configuration_document> makeDocument(configuration_version version,
                                            const platform_object &object);
/// Returns the object of kind \p kind; fails if the document is damaged.
result<platform_object> objectOf(const configuration_document &document, const std::string &kind);

/// Requests the part of the newest configuration that follows the bytes already received.
struct configuration_request
{
    configuration_version known;
    /// Checksum of the document of which the first `offset` bytes were received; 0 for none.
    document_checksum document;
    std::size_t offset = 0;
    /// Address at which the requester answers such requests itself.
    endpoint requesterAddress;
};

struct configuration_reply
{
    /// The document without its compressed bytes.
    configuration_document document;
    std::size_t documentBytes = 0;
    std::size_t offset = 0;
    /// Empty if the sender has no newer version, or no bandwidth to spare.
    std::string chunk;
    /// Other instances that have this version.
    std::vector<endpoint> holders;
};

std::string encodeConfigurationRequest(const configuration_request &request);
result<configuration_request> decodeConfigurationRequest(const std::string &text);
std::string encodeConfigurationReply(const configuration_reply &reply);
/// Fails if the sizes contradict each other or exceed `maxConfigurationBytes`.
result<configuration_reply> decodeConfigurationReply(const std::string &text);

} // namespace peridotwheel

#endif
