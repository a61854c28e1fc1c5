#ifndef PERIDOTWHEEL_HTTP_REPLY_MEMORY_H
#define PERIDOTWHEEL_HTTP_REPLY_MEMORY_H

#include <cstddef>
#include <functional>
#include <vector>

namespace peridotwheel {

/// Bounds of the memory that replies in progress occupy together, in bytes.
struct reply_memory_limits
{
    /// For replies that have grown beyond `reply_memory::smallReplyBytes`, except the one that has
    /// been large for longest.
    std::size_t largeReplies = 0;
    /// For all other replies.
    std::size_t smallReplies = 0;

    /// Returns limits for one of the groups of connections of a process that may use
    /// \p processBytes of memory.
    static reply_memory_limits forProcess(std::size_t processBytes);
};

/// Decides which of the replies in progress may go on growing, so that all of them together stay
/// within a limit.
///
/// Keeps a process within its memory while many servers send replies that are long or never end,
/// and serves ordinary replies meanwhile. Once half of the memory for large replies is in use, only
/// the one that has been large for longest goes on, so that one after the other ends, and the
/// others wait; those for which no memory is left are given up. Small replies never wait for large
/// ones. If the small ones alone exceed their limit, the longest of them is given up.
class reply_memory
{
public:
    /// Answers are usually smaller.
    static constexpr std::size_t smallReplyBytes = 64 * 1024;

    struct holder_hooks
    {
        /// Starts or stops reading from the connection of the reply.
        std::function<void(bool reading)> setReading;
        /// Releases the memory of the reply and fails its exchange, but not from within the call.
        std::function<void()> giveUp;
    };

    /// The memory of the reply in progress on one connection.
    class holder
    {
    public:
        holder(reply_memory &memory, holder_hooks hooks);
        holder(const holder &) = delete;
        holder &operator=(const holder &) = delete;
        ~holder();

        /// Sets how many bytes the reply occupies; 0 if there is none. May call hooks of any
        /// holder.
        void setBytes(std::size_t bytes);

    private:
        friend class reply_memory;

        bool isLarge() const { return m_bytes > smallReplyBytes; }
        void setReading(bool reading);

        reply_memory &m_memory;
        holder_hooks m_hooks;
        std::size_t m_bytes = 0;
        bool m_isReading = true;
    };

    /// \p onGivenUp is called with the size of each reply that is given up.
    reply_memory(reply_memory_limits limits, std::function<void(std::size_t bytes)> onGivenUp)
        : m_limits(limits)
        , m_onGivenUp(std::move(onGivenUp))
    {
    }
    reply_memory(const reply_memory &) = delete;
    reply_memory &operator=(const reply_memory &) = delete;

    /// Returns the bytes that all replies in progress occupy.
    std::size_t bytes() const { return m_smallBytes + m_largeBytes; }

private:
    using holder_list = std::vector<holder *>;

    void change(holder &h, std::size_t bytes);
    void giveUp(holder &h);
    void giveUpLongestSmallReplies();
    void giveUpNewestLargeReplies();
    void updateReading();

    reply_memory_limits m_limits;
    std::function<void(std::size_t bytes)> m_onGivenUp;
    /// Holders of small replies that are not empty, and of large ones in the order in which they
    /// became large.
    holder_list m_small;
    holder_list m_large;
    std::size_t m_smallBytes = 0;
    std::size_t m_largeBytes = 0;
};

} // namespace peridotwheel

#endif
