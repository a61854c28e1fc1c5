#include "configuration_source.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Share of the link's bandwidth that chunks may take.
constexpr double linkShare = 0.5;
constexpr std::size_t maxHolders = 4;

} // namespace

configuration_source::configuration_source(byte_rate link, time_point now)
    : m_link(link, linkShare, chunkBytes, now)
{
}

bool configuration_source::has(configuration_version version) const
{
    return m_newest && m_newest->version >= version;
}

result<void> configuration_source::setNewest(configuration_version version,
                                             const platform_object &object)
{
    if (has(version))
        return success();
    BOOST_OUTCOME_TRY(document, makeDocument(version, object));
    setNewest(std::move(document));
    return success();
}

void configuration_source::setNewest(configuration_document document)
{
    if (has(document.version))
        return;
    m_previous = std::move(m_newest);
    m_newest = std::move(document);
    m_holders.clear();
}

void configuration_source::recordHolder(const endpoint &address, configuration_version version)
{
    if (!m_newest || version != m_newest->version)
        return;
    if (std::find(m_holders.begin(), m_holders.end(), address) != m_holders.end())
        return;
    m_holders.push_back(address);
    if (m_holders.size() > maxHolders)
        m_holders.pop_front();
}

const configuration_document *
configuration_source::chosenFor(const configuration_request &request) const
{
    const bool continuesPrevious = m_previous && m_previous->version > request.known &&
                                   request.document == m_previous->checksum;
    if (continuesPrevious)
        return &*m_previous;
    return m_newest && m_newest->version > request.known ? &*m_newest : nullptr;
}

configuration_reply configuration_source::answer(const configuration_request &request,
                                                 time_point now)
{
    configuration_reply reply;
    const configuration_document *chosen = chosenFor(request);
    if (chosen == nullptr)
        return reply;
    reply.document.version = chosen->version;
    reply.document.name = chosen->name;
    reply.document.revision = chosen->revision;
    reply.document.textBytes = chosen->textBytes;
    reply.document.checksum = chosen->checksum;
    reply.documentBytes = chosen->compressed.size();
    const bool continues = request.document == chosen->checksum;
    reply.offset = continues ? std::min(request.offset, reply.documentBytes) : 0;
    const std::size_t bytes = std::min(chunkBytes, reply.documentBytes - reply.offset);
    if (m_link.take(bytes, now))
        reply.chunk = chosen->compressed.substr(reply.offset, bytes);
    if (chosen == &*m_newest)
        reply.holders.assign(m_holders.begin(), m_holders.end());
    return reply;
}

} // namespace peridotwheel
