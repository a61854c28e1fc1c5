#include "peridotwheel/support/error.h"

namespace peridotwheel {

const char *toString(error_kind kind)
{
    switch (kind) {
    case error_kind::InvalidArgument:
        return "invalid-argument";
    case error_kind::NotFound:
        return "not-found";
    case error_kind::Conflict:
        return "conflict";
    case error_kind::Unavailable:
        return "unavailable";
    case error_kind::OutcomeUnknown:
        return "outcome-unknown";
    case error_kind::TimedOut:
        return "timed-out";
    case error_kind::Overloaded:
        return "overloaded";
    case error_kind::Refused:
        return "refused";
    }
    return "unknown";
}

} // namespace peridotwheel
