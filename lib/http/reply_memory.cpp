#include "peridotwheel/http/reply_memory.h"

#include <algorithm>
#include <utility>

namespace peridotwheel {

namespace {

/// Shares of a process's memory. A buffer that grows may occupy three times the size of its reply
/// for a moment, and a process has two groups of connections.
constexpr std::size_t largeRepliesDivisor = 10;
constexpr std::size_t smallRepliesDivisor = 16;

} // namespace

reply_memory_limits reply_memory_limits::forProcess(std::size_t processBytes)
{
    return {processBytes / largeRepliesDivisor, processBytes / smallRepliesDivisor};
}

reply_memory::holder::holder(reply_memory &memory, holder_hooks hooks)
    : m_memory(memory)
    , m_hooks(std::move(hooks))
{
}

reply_memory::holder::~holder()
{
    m_hooks = {};
    setBytes(0);
}

void reply_memory::holder::setReading(bool reading)
{
    if (m_isReading == reading)
        return;
    m_isReading = reading;
    if (m_hooks.setReading)
        m_hooks.setReading(reading);
}

void reply_memory::holder::setBytes(std::size_t bytes)
{
    m_memory.change(*this, bytes);
}

void reply_memory::change(holder &h, std::size_t bytes)
{
    const std::size_t before = h.m_bytes;
    if (bytes == before)
        return;
    const bool wasLarge = h.isLarge();
    h.m_bytes = bytes;
    const bool isLarge = h.isLarge();
    (wasLarge ? m_largeBytes : m_smallBytes) -= before;
    (isLarge ? m_largeBytes : m_smallBytes) += bytes;
    const bool hasMoved = wasLarge != isLarge;
    if (before > 0 && (hasMoved || bytes == 0)) {
        holder_list &from = wasLarge ? m_large : m_small;
        from.erase(std::find(from.begin(), from.end(), &h));
    }
    if (bytes > 0 && (hasMoved || before == 0))
        (isLarge ? m_large : m_small).push_back(&h);
    if (wasLarge && !isLarge)
        h.setReading(true);
    if (wasLarge || isLarge) {
        giveUpNewestLargeReplies();
        updateReading();
    }
    giveUpLongestSmallReplies();
}

void reply_memory::giveUp(holder &h)
{
    m_onGivenUp(h.m_bytes);
    h.m_hooks.giveUp();
    h.setBytes(0);
}

void reply_memory::giveUpLongestSmallReplies()
{
    while (m_smallBytes > m_limits.smallReplies) {
        giveUp(**std::max_element(m_small.begin(), m_small.end(), [](const auto *a, const auto *b) {
            return a->m_bytes < b->m_bytes;
        }));
    }
}

void reply_memory::giveUpNewestLargeReplies()
{
    while (m_large.size() > 1 && m_largeBytes - m_large.front()->m_bytes > m_limits.largeReplies)
        giveUp(*m_large.back());
}

void reply_memory::updateReading()
{
    const bool hasRoom = m_largeBytes <= m_limits.largeReplies / 2;
    for (std::size_t i = 0; i < m_large.size(); ++i)
        m_large[i]->setReading(i == 0 || hasRoom);
}

} // namespace peridotwheel
