#ifndef PERIDOTWHEEL_SUPPORT_BLOCKED_SIGNAL_H
#define PERIDOTWHEEL_SUPPORT_BLOCKED_SIGNAL_H

#include <csignal>

namespace peridotwheel {

/// Blocks a signal in this thread, and in threads that it starts, so that it stays pending until
/// `unblock`: a signal that arrives before its handler is installed would end the process.
class blocked_signal
{
public:
    explicit blocked_signal(int number)
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, number);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    }
    blocked_signal(const blocked_signal &) = delete;
    blocked_signal &operator=(const blocked_signal &) = delete;

    /// Unblocks the signal, which delivers it if it is pending. The destructor does not unblock.
    void unblock() { pthread_sigmask(SIG_UNBLOCK, &m_signals, nullptr); }

private:
    sigset_t m_signals{};
};

} // namespace peridotwheel

#endif
