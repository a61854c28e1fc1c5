#ifndef PERIDOTWHEEL_STANDIN_STANDIN_CONTROL_H
#define PERIDOTWHEEL_STANDIN_STANDIN_CONTROL_H

#include "peridotwheel/http/http_message.h"
#include "peridotwheel/support/error.h"

#include <memory>

namespace peridotwheel {

class standin_fleet;

/// Switches the faults of a fleet over HTTP, on a listener and a thread of its own.
///
/// - `POST /fault`: fault fields (see `applyFaultJson`) and at least one of `server`, `service` and
///   `dataCentre` to select servers; `"server": "*"` selects all.
/// - `POST /platform-fault`: fields of `platform_faults`.
/// - `POST /publish` {"shardsPerService":N}: publishes the next index version.
/// - `POST /drain` {"server":ID,"finish":false}, `POST /restart` {"server":ID,"coldReplies":N}.
/// - `GET /counters`: sums over all servers, and the platform's.
class standin_control
{
public:
    explicit standin_control(standin_fleet &fleet);
    standin_control(const standin_control &) = delete;
    standin_control &operator=(const standin_control &) = delete;
    ~standin_control();

    result<void> start(const endpoint &at);
    endpoint address() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
