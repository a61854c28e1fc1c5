#ifndef PERIDOTWHEEL_SUPPORT_UNIQUE_FD_H
#define PERIDOTWHEEL_SUPPORT_UNIQUE_FD_H

#include <unistd.h>
#include <utility>

namespace peridotwheel {

/// Owns a file descriptor.
class unique_fd
{
public:
    unique_fd() = default;
    explicit unique_fd(int fd)
        : m_fd(fd)
    {
    }
    unique_fd(unique_fd &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    unique_fd &operator=(unique_fd &&other) noexcept
    {
        if (this != &other) {
            reset();
            m_fd = std::exchange(other.m_fd, -1);
        }
        return *this;
    }
    ~unique_fd() { reset(); }

    int get() const { return m_fd; }
    explicit operator bool() const { return m_fd >= 0; }
    void reset()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

private:
    int m_fd = -1;
};

} // namespace peridotwheel

#endif
