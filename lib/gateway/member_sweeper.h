#ifndef PERIDOTWHEEL_LIB_GATEWAY_MEMBER_SWEEPER_H
#define PERIDOTWHEEL_LIB_GATEWAY_MEMBER_SWEEPER_H

#include "peridotwheel/membership/member.h"
#include "peridotwheel/support/event_loop.h"

#include <functional>
#include <map>
#include <memory>

namespace peridotwheel {

/// Detects members of this instance's data centre that no longer answer, so that their entries can
/// be removed from the store. An instance that crashed cannot remove its own entry, and each entry
/// that stays permanently reduces the shares of all other instances.
class member_sweeper
{
public:
    struct hooks
    {
        /// Probes one member and reports once whether it answered.
        std::function<void(const member &, std::function<void(bool answered)>)> probe;
        std::function<void(const member &)> remove;
    };

    /// Time between two probes of a member, and number of consecutive unanswered probes after which
    /// its entry is removed: a restart or a network partition of some seconds must not cost an
    /// instance its entry.
    static constexpr duration probeInterval = seconds(20);
    static constexpr unsigned failuresUntilRemoval = 4;

    member_sweeper(event_loop &loop, member self, hooks h);
    member_sweeper(const member_sweeper &) = delete;
    member_sweeper &operator=(const member_sweeper &) = delete;
    ~member_sweeper();

    void setMembers(const member_map &members);
    /// Starts or stops probing. Only a few instances of a data centre probe, on behalf of the
    /// others.
    void setActive(bool active);

private:
    void sweep();
    void onProbed(const member &target, bool answered);

    event_loop &m_loop;
    member m_self;
    hooks m_hooks;
    member_map m_members;
    std::map<instance_id, unsigned> m_failures;
    bool m_active = false;
    timer m_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace peridotwheel

#endif
