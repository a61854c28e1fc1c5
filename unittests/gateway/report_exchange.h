#ifndef PERIDOTWHEEL_UNITTESTS_GATEWAY_REPORT_EXCHANGE_H
#define PERIDOTWHEEL_UNITTESTS_GATEWAY_REPORT_EXCHANGE_H

#include "lib/gateway/report_aggregator.h"
#include "peridotwheel/membership/member.h"

#include <map>

namespace peridotwheel {

/// Pools the measurements of each data centre at an interval, as `view_exchange` does.
class report_exchange
{
public:
    explicit report_exchange(duration interval)
        : m_interval(interval)
    {
    }

    /// \p fleet holds pointers to instances with a `dataCentre` and a `gate`.
    template <class Fleet>
    void run(const Fleet &fleet, time_point now)
    {
        if (now < m_next)
            return;
        m_next = now + m_interval;
        for (const auto &each : fleet)
            m_pools[each->dataCentre].add(each->gate.takeReports(), now);
        for (const auto &each : fleet)
            each->gate.setHints(m_pools[each->dataCentre].hints(now));
    }

private:
    duration m_interval;
    time_point m_next{};
    std::map<data_centre_id, report_aggregator> m_pools;
};

} // namespace peridotwheel

#endif
