#ifndef PERIDOTWHEEL_PLATFORM_CALL_ERRORS_H
#define PERIDOTWHEEL_PLATFORM_CALL_ERRORS_H

#include "peridotwheel/http/http_connection.h"
#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/support/error.h"

#include <string>

namespace peridotwheel {

/// Why the platform rejected a write, as far as the status of its reply tells.
enum class write_refusal {
    NotFound,
    Conflict,
    InvalidValue,
    Overloaded, ///< The write certainly had no effect; retry later.
    Unknown,    ///< The status does not rule out that the write took effect.
};

bool isSuccess(const http_outcome &outcome);

/// Returns the kind and the name, for example "claims/booking-17".
std::string describe(const object_key &key);

/// Returns the error for a failed read. \p what names the object or the list.
error readError(const http_outcome &outcome, const std::string &what);

/// Returns the error for a failed write. \p refusal is used only if a reply was received.
error writeError(const http_outcome &outcome, const std::string &what, write_refusal refusal);

} // namespace peridotwheel

#endif
