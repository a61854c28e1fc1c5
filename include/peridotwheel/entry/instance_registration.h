#ifndef PERIDOTWHEEL_ENTRY_INSTANCE_REGISTRATION_H
#define PERIDOTWHEEL_ENTRY_INSTANCE_REGISTRATION_H

#include "peridotwheel/membership/member.h"
#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/random_source.h"

#include <functional>
#include <memory>
#include <string>

namespace peridotwheel {

/// Maintains the instance's own record at the platform, `instances/ID`. Failed reads and writes are
/// retried with exponential backoff and jitter until the record is in the latest target state.
class instance_registration
{
public:
    enum class target_state { Live, Leaving, Absent };
    using done_hook = std::function<void()>;

    instance_registration(event_loop &loop, platform_client &platform, std::uint64_t seed,
                          member self, duration initialBackoff = milliseconds(250),
                          duration maxBackoff = seconds(10));

    /// Brings the record to \p newTarget; \p done is called when the platform has confirmed it. A
    /// later call replaces an earlier one, whose hook is then not called.
    void setTarget(target_state newTarget, done_hook done = nullptr);
    bool confirmed() const { return m_confirmed; }

private:
    void read();
    void onRead(const result<platform_object> &read);
    void onWritten(const error *problem);
    void finish();
    std::string value() const;

    event_loop &m_loop;
    platform_client &m_platform;
    random_source m_random;
    member m_self;
    duration m_initialBackoff;
    duration m_maxBackoff;
    duration m_backoff{};
    target_state m_target = target_state::Live;
    bool m_confirmed = false;
    /// Incremented by each `setTarget` and each retry; replies to earlier attempts are ignored.
    std::uint64_t m_attempt = 0;
    done_hook m_done;
    timer m_timer;
    std::shared_ptr<instance_registration *> m_this;
};

} // namespace peridotwheel

#endif
