#ifndef PERIDOTWHEEL_PLATFORM_PLATFORM_JSON_H
#define PERIDOTWHEEL_PLATFORM_PLATFORM_JSON_H

#include "peridotwheel/platform/platform_client.h"

namespace peridotwheel {

/// Parsers of the platform's replies. Every failure is an `InvalidArgument` that says what is
/// malformed, such as the name of a field.
result<platform_object> objectFromJson(const object_key &key, const std::string &text);
result<object_version> versionFromJson(const std::string &text);
result<watch_result> listFromJson(const std::string &kind, const std::string &text);
result<watch_result> watchFromJson(const std::string &kind, const std::string &text);
result<instance_list> instancesFromJson(const std::string &text);
/// Parses "ip:port". Rejects port zero.
result<endpoint> endpointFromText(const std::string &text);

} // namespace peridotwheel

#endif
