#ifndef PERIDOTWHEEL_STANDIN_PLATFORM_STANDIN_H
#define PERIDOTWHEEL_STANDIN_PLATFORM_STANDIN_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/error.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace peridotwheel {

class libevent_loop;

struct platform_config
{
    /// Port 0 lets the system choose.
    endpoint address{"127.0.0.1", 0};
    /// Age of `/instances`.
    duration listLag = milliseconds(500);
    /// Changes that a watch can catch up on; older ones are answered with 410.
    std::size_t maxHistory = 10000;
    std::size_t maxValueBytes = 1024 * 1024;
    std::uint64_t seed = 1;
};

enum class outage_mode {
    None,
    Dropped,    ///< Connections are accepted and closed on the first request.
    Unanswered, ///< Requests get no reply.
};

struct platform_faults
{
    outage_mode outage = outage_mode::None;
    /// Time by which every request is held before it takes effect.
    duration delay{};
    /// Share of the writes that take effect and whose connection is closed instead of a reply.
    double lostReplyFraction = 0.0;
    /// Confines lost replies to one kind of object if not empty.
    std::string lostReplyKind;
    /// Callers whose `X-Data-Centre` is in this set get no reply.
    std::set<data_centre_id> cutOff;
};

/// Changes \p faults by a JSON object with `outage` (`none`, `dropped`, `unanswered`), `delayMs`,
/// `lostReplyFraction`, `lostReplyKind`, `cutOff` (list of data centres) and `clear`.
result<void> applyFaultJson(const std::string &json, platform_faults &faults);

struct platform_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; ///< Writes that took effect.
    std::uint64_t conflicts = 0;
    std::uint64_t watches = 0;
    std::uint64_t lostReplies = 0;
    std::uint64_t unserved = 0; ///< Requests that met an outage or a cut-off.
};

/// A simulated platform: the object API with watches, and the lagging list of instances and
/// servers. All members are used on the loop's thread.
class platform_standin
{
public:
    platform_standin(libevent_loop &loop, platform_config config);
    platform_standin(const platform_standin &) = delete;
    platform_standin &operator=(const platform_standin &) = delete;
    ~platform_standin();

    result<void> start();
    endpoint address() const;

    const platform_faults &faults() const;
    void setFaults(const platform_faults &faults);
    const platform_counters &counters() const;

    /// Writes \p value (JSON text) without conditions and wakes watches.
    std::uint64_t put(const std::string &kind, const std::string &name, const std::string &value);
    void remove(const std::string &kind, const std::string &name);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
