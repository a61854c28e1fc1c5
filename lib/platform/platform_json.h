#ifndef PERIDOTWHEEL_PLATFORM_PLATFORM_JSON_H
#define PERIDOTWHEEL_PLATFORM_PLATFORM_JSON_H

#include "peridotwheel/platform/platform_client.h"

namespace peridotwheel {

/// The entries of one reply that were left out.
struct skipped_entries
{
    std::size_t count = 0;
    /// Where the first one stands and what is wrong with it.
    std::string first;

    void add(const char *field, const char *reason);
};

/// Parsers of the platform's replies. Every failure is an `InvalidArgument` that says what is
/// malformed, such as the name of a field.
result<platform_object> objectFromJson(const object_key &key, const std::string &text);
result<object_version> versionFromJson(const std::string &text);
/// The readers of lists leave out entries that are malformed and add them to \p skipped.
result<watch_result> listFromJson(const std::string &kind, const std::string &text,
                                  skipped_entries &skipped);
result<watch_result> watchFromJson(const std::string &kind, const std::string &text,
                                   skipped_entries &skipped);
result<instance_list> instancesFromJson(const std::string &text, skipped_entries &skipped);
/// Parses "ip:port". Rejects port zero.
result<endpoint> endpointFromText(const std::string &text);

} // namespace peridotwheel

#endif
