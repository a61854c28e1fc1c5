#ifndef PERIDOTWHEEL_GATEWAY_SERVER_LIMIT_H
#define PERIDOTWHEEL_GATEWAY_SERVER_LIMIT_H

#include "peridotwheel/support/units.h"

#include <cstddef>
#include <optional>

namespace peridotwheel {

/// The rate of requests that a server accepts from all instances together, and the pace at which
/// this instance sends its share of them.
///
/// Answers the load on a server that is short of capacity and says so. Shares of all instances add
/// up to at most the limit, and an unused share is not saved up, so that requests that come to many
/// instances at once exceed the limit by at most one request for each instance with a share.
class server_limit
{
public:
    /// Delay of a request that this instance may not send at all.
    static constexpr duration unavailable = std::chrono::hours(24);

    /// A limit lapses \p lifetime after the server last named it, since an instance without a share
    /// gets no answers that could end it. The lifetimes of the instances should differ, so that
    /// they do not all send to the server again at once.
    explicit server_limit(duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    /// Records an answer of the server, which names a limit or none. Returns whether the limit
    /// changed.
    bool onAnswer(std::optional<request_rate> named, time_point now);
    /// Records a limit that the server named to another instance of the data centre. Returns
    /// whether the limit changed.
    bool onHint(std::optional<request_rate> named, time_point now);
    /// Sets the share of the limit that this instance may use, from 0 to 1.
    void setOwnShare(double share, time_point now);

    /// Returns the limit in force, if any.
    std::optional<request_rate> limit(time_point now) const;
    /// Returns the limit if the server named it to this instance recently.
    std::optional<request_rate> namedHere(time_point now) const;
    /// Returns the time until a request may be sent that waits behind \p ahead others, and
    /// `unavailable` if this instance has no share.
    duration delay(std::size_t ahead, time_point now) const;
    /// Takes the permission to send one request; returns false if there is none now.
    bool take(time_point now);

private:
    double available(time_point now) const;
    bool set(request_rate named, time_point now);

    duration m_lifetime;
    std::optional<request_rate> m_limit;
    double m_ownShare = 0;
    /// When the server last named the limit, to this instance or to another one.
    time_point m_namedAt{};
    /// When the server last answered this instance, and whether it named a limit then.
    time_point m_answeredAt{};
    bool m_wasNamedHere = false;
    /// Requests that may be sent, at most one, as of `m_availableAt`.
    double m_available = 0;
    time_point m_availableAt{};
};

} // namespace peridotwheel

#endif
