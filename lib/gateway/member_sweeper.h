#ifndef PERIDOTWHEEL_LIB_GATEWAY_MEMBER_SWEEPER_H
#define PERIDOTWHEEL_LIB_GATEWAY_MEMBER_SWEEPER_H

#include "peridotwheel/membership/member.h"
#include "peridotwheel/support/event_loop.h"

#include <functional>
#include <map>
#include <memory>

namespace peridotwheel {

/// Finds members of the own data centre that do not answer any more, so that their entries can be
/// removed from the store. An instance that is lost cannot remove its own, and each entry that
/// stays makes the shares of all others smaller for good.
class member_sweeper
{
public:
    struct hooks
    {
        /// Asks one member for a sign of life; the result is reported once.
        std::function<void(const member &, std::function<void(bool answered)>)> probe;
        std::function<void(const member &)> remove;
    };

    /// Time between two probes of a member, and probes in a row without an answer before it counts
    /// as gone: a restart or a cut that lasts for seconds must not cost an instance its entry.
    static constexpr duration probeInterval = seconds(20);
    static constexpr unsigned failuresUntilRemoval = 4;

    member_sweeper(event_loop &loop, member self, hooks h);
    member_sweeper(const member_sweeper &) = delete;
    member_sweeper &operator=(const member_sweeper &) = delete;
    ~member_sweeper();

    void setMembers(const member_map &members);
    /// Few instances of a data centre sweep; the others leave it to them.
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
