#ifndef PERIDOTWHEEL_BENCH_PARTITIONED_CONNECTOR_H
#define PERIDOTWHEEL_BENCH_PARTITIONED_CONNECTOR_H

#include "peridotwheel/http/http_connection.h"
#include "peridotwheel/support/event_loop.h"

#include <functional>
#include <memory>

namespace peridotwheel {

/// A connector whose links can be cut: what is sent over a cut link gets no reply, and replies that
/// arrive while it is cut are lost, as in a network partition.
class partitioned_connector : public http_connector
{
public:
    using link_check = std::function<bool(const endpoint &to)>;

    /// \p isCut is asked on the loop's thread for each request and each reply.
    partitioned_connector(std::unique_ptr<http_connector> inner, event_loop &loop,
                          link_check isCut);

    std::unique_ptr<http_connection> open(const endpoint &to) override;

private:
    std::unique_ptr<http_connector> m_inner;
    event_loop &m_loop;
    link_check m_isCut;
};

} // namespace peridotwheel

#endif
