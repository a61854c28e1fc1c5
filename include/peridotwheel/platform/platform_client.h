#ifndef PERIDOTWHEEL_PLATFORM_PLATFORM_CLIENT_H
#define PERIDOTWHEEL_PLATFORM_PLATFORM_CLIENT_H

#include "peridotwheel/membership/member.h"
#include "peridotwheel/support/error.h"
#include "peridotwheel/support/ids.h"
#include "peridotwheel/support/units.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotwheel {

/// Name of an object in the platform's API, for example {"claims", "booking-17"}.
struct object_key
{
    std::string kind;
    std::string name;
};

struct platform_object
{
    object_key key;
    object_version version;
    std::string value; ///< JSON text.
};

/// The changes to objects of one kind, and the revision from which to watch next.
struct watch_result
{
    object_version next;
    std::vector<platform_object> changed;
    std::vector<object_key> removed;
    /// The platform no longer has the changes since the requested revision: list all objects again.
    bool compacted = false;
};

/// The platform's list of live and leaving instances and backend servers. It lags behind their real
/// state.
struct instance_list
{
    std::vector<member> instances;
    std::vector<server_record> servers;
};

/// Precondition of a write, which fails with `Conflict` if it does not hold.
struct write_condition
{
    /// The version that must be current. If empty, the object must not exist.
    std::optional<object_version> version;

    static write_condition absent() { return {}; }
    static write_condition at(object_version v) { return {v}; }
};

/// The platform's object API. Each hook is called once, never from within the call, and not at all
/// if the client is destroyed first.
///
/// Errors: `NotFound`, `Conflict`, `InvalidArgument` (the platform rejects the value, or its reply
/// to a read is malformed), `Unavailable` (certainly without effect), `OutcomeUnknown` (the write
/// may have taken effect: read the object back), `TimedOut` (reads only).
class platform_client
{
public:
    template <class T>
    using hook = std::function<void(result<T>)>;

    platform_client() = default;
    platform_client(const platform_client &) = delete;
    platform_client &operator=(const platform_client &) = delete;
    virtual ~platform_client() = default;

    virtual void get(const object_key &key, hook<platform_object> done) = 0;
    /// Passes the version that was written to \p done.
    virtual void put(const object_key &key, const std::string &value, write_condition condition,
                     hook<object_version> done) = 0;
    virtual void remove(const object_key &key, object_version version, hook<void> done) = 0;
    virtual void list(const std::string &kind, hook<watch_result> done) = 0;
    /// Waits up to \p wait for changes of \p kind after \p since.
    virtual void watch(const std::string &kind, object_version since, duration wait,
                       hook<watch_result> done) = 0;
    virtual void instances(hook<instance_list> done) = 0;
};

} // namespace peridotwheel

#endif
