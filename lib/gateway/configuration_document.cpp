#include "configuration_document.h"

#include "peer_types.h"
#include "peridotwheel/support/compression.h"
#include "peridotwheel/support/endpoint_text.h"
#include "peridotwheel/support/hash.h"
#include "thrift_text.h"

namespace peridotwheel {

namespace {

document_checksum checksumOf(std::string_view compressed)
{
    return document_checksum(stableHash(compressed));
}

} // namespace

result<configuration_document> makeDocument(configuration_version version,
                                            const platform_object &object)
{
    configuration_document out;
    out.version = version;
    out.name = object.key.name;
    out.revision = object.version;
    out.textBytes = object.value.size();
    BOOST_OUTCOME_TRY(compressed, compress(object.value));
    out.compressed = std::move(compressed);
    out.checksum = checksumOf(out.compressed);
    return out;
}

result<platform_object> objectOf(const configuration_document &document, const std::string &kind)
{
    if (checksumOf(document.compressed) != document.checksum) {
        return failure(error_kind::InvalidArgument,
                       "the configuration's checksum is wrong; request it again");
    }
    platform_object out;
    out.key = {kind, document.name};
    out.version = document.revision;
    BOOST_OUTCOME_TRY(text, decompress(document.compressed, document.textBytes));
    out.value = std::move(text);
    return out;
}

std::string encodeConfigurationRequest(const configuration_request &request)
{
    wire::ConfigurationRequest out;
    out.knownVersion = static_cast<std::int64_t>(request.known.value());
    out.documentChecksum = static_cast<std::int64_t>(request.document.value());
    out.offset = static_cast<std::int32_t>(request.offset);
    out.askerAt = endpointText(request.requesterAddress);
    return encodeThrift(out);
}

result<configuration_request> decodeConfigurationRequest(const std::string &text)
{
    BOOST_OUTCOME_TRY(in, decodeThrift<wire::ConfigurationRequest>(text));
    const auto requester = parseEndpoint(in.askerAt);
    if (in.offset < 0 || !requester)
        return failure(error_kind::InvalidArgument,
                       "the offset or the address in the request of another instance is invalid");
    configuration_request out;
    out.known = configuration_version(static_cast<std::uint64_t>(in.knownVersion));
    out.document = document_checksum(static_cast<std::uint64_t>(in.documentChecksum));
    out.offset = static_cast<std::size_t>(in.offset);
    out.requesterAddress = *requester;
    return out;
}

std::string encodeConfigurationReply(const configuration_reply &reply)
{
    wire::ConfigurationReply out;
    out.version = static_cast<std::int64_t>(reply.document.version.value());
    out.name = reply.document.name;
    out.revision = static_cast<std::int64_t>(reply.document.revision.value());
    if (reply.document.revision.era() != store_era())
        out.__set_era(static_cast<std::int64_t>(reply.document.revision.era().value()));
    out.textBytes = static_cast<std::int32_t>(reply.document.textBytes);
    out.documentBytes = static_cast<std::int32_t>(reply.documentBytes);
    out.documentChecksum = static_cast<std::int64_t>(reply.document.checksum.value());
    out.offset = static_cast<std::int32_t>(reply.offset);
    out.chunk = reply.chunk;
    for (const endpoint &holder : reply.holders)
        out.holders.push_back(endpointText(holder));
    return encodeThrift(out);
}

result<configuration_reply> decodeConfigurationReply(const std::string &text)
{
    BOOST_OUTCOME_TRY(in, decodeThrift<wire::ConfigurationReply>(text));
    const auto isSize = [](std::int32_t bytes) {
        return bytes >= 0 && static_cast<std::size_t>(bytes) <= maxConfigurationBytes;
    };
    const bool isValid = isSize(in.textBytes) && isSize(in.documentBytes) && isSize(in.offset) &&
                         in.offset + in.chunk.size() <= static_cast<std::size_t>(in.documentBytes);
    if (!isValid)
        return failure(error_kind::InvalidArgument,
                       "the sizes in the configuration of another instance are invalid");
    configuration_reply out;
    out.document.version = configuration_version(static_cast<std::uint64_t>(in.version));
    out.document.name = std::move(in.name);
    out.document.revision = object_version(store_era(static_cast<std::uint64_t>(in.era)),
                                           static_cast<std::uint64_t>(in.revision));
    out.document.textBytes = static_cast<std::size_t>(in.textBytes);
    out.document.checksum = document_checksum(static_cast<std::uint64_t>(in.documentChecksum));
    out.documentBytes = static_cast<std::size_t>(in.documentBytes);
    out.offset = static_cast<std::size_t>(in.offset);
    out.chunk = std::move(in.chunk);
    for (const std::string &holder : in.holders) {
        if (const auto at = parseEndpoint(holder))
            out.holders.push_back(*at);
    }
    return out;
}

} // namespace peridotwheel
