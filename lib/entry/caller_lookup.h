#ifndef PERIDOTWHEEL_ENTRY_CALLER_LOOKUP_H
#define PERIDOTWHEEL_ENTRY_CALLER_LOOKUP_H

#include "peridotwheel/entry/caller_service.h"

namespace peridotwheel {

/// A status request that waits for a lookup in the claim store.
struct caller_service::pending_lookup
{
    request_id id;
    responder_ptr out;
    timer timeout;
};

inline request_status statusOf(const request_entry &entry)
{
    return {entry.id, entry.spec.name, entry.repeatable, entry.spec.coverageTarget, entry.answer};
}

} // namespace peridotwheel

#endif
