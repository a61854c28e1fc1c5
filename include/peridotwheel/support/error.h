#ifndef PERIDOTWHEEL_SUPPORT_ERROR_H
#define PERIDOTWHEEL_SUPPORT_ERROR_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace peridotwheel {

enum class error_kind {
    InvalidArgument, ///< The input is malformed; the same input will fail again.
    NotFound,
    Conflict,       ///< A conditional update failed because another writer was first.
    Unavailable,    ///< The peer could not be reached and nothing was changed.
    OutcomeUnknown, ///< A write was sent but its reply was lost: it may have taken effect.
    TimedOut,
    Overloaded,
    Refused,
};

/// Short stable name for logs and JSON, for example "invalid-argument".
const char *toString(error_kind kind);

/// A typed error. The message says what is wrong, with the value found, and what to do about it.
struct error
{
    error_kind kind = error_kind::InvalidArgument;
    std::string message;
};

template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

inline auto failure(error_kind kind, std::string message)
{
    return boost::outcome_v2::failure(error{kind, std::move(message)});
}

inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace peridotwheel

#endif
