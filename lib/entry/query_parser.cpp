#include "peridotwheel/entry/query_parser.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotwheel {

namespace {

using nlohmann::json;
using check_result =
        boost::outcome_v2::basic_result<void, input_error, boost::outcome_v2::policy::terminate>;

auto refuse(const char *kind, std::string message, int httpStatus = 400)
{
    return boost::outcome_v2::failure(input_error{httpStatus, kind, std::move(message), {}});
}

constexpr const char *knownFields[] = {"class",      "services",  "query",   "deadlineMs",
                                       "repeatable", "requestId", "issuedAt"};

bool isKnownField(const std::string &name)
{
    return std::any_of(std::begin(knownFields), std::end(knownFields),
                       [&](const char *known) { return name == known; });
}

/// Returns the member \p name of \p object, or null if it is absent.
const json *findMember(const json &object, const char *name)
{
    const auto it = object.find(name);
    return it == object.end() ? nullptr : &*it;
}

/// Refuses unknown fields: a misspelt `repeatable` would silently turn a booking into a repeatable
/// query.
check_result checkFields(const json &object)
{
    for (auto it = object.begin(); it != object.end(); ++it) {
        if (!isKnownField(it.key())) {
            return refuse("unknown-field",
                          "the body has a field that is not part of the interface; use class, "
                          "services, query, deadlineMs, repeatable, requestId and issuedAt");
        }
    }
    return boost::outcome_v2::success();
}

check_result readId(const json &object, query_request &request)
{
    const json *id = findMember(object, "requestId");
    if (id == nullptr)
        return boost::outcome_v2::success();
    if (!id->is_string() || !isRequestId(id->get_ref<const std::string &>())) {
        return refuse("bad-id",
                      "requestId must be 1 to 64 letters, digits, '.', '_', '-' or ':' and "
                      "begin with a letter or digit");
    }
    request.id = request_id(id->get<std::string>());
    return boost::outcome_v2::success();
}

check_result readClass(const json &object, const query_context &context, query_request &request)
{
    const json *name = findMember(object, "class");
    if (name == nullptr || !name->is_string())
        return refuse("missing-class", "class must be a string; name a configured class");
    const auto &text = name->get_ref<const std::string &>();
    const auto &classes = context.configuration.classes;
    const auto it = text.size() > maxNameBytes ? classes.end() : classes.find(class_name(text));
    if (it == classes.end()) {
        return refuse("unknown-class",
                      "no such class is configured; check the name or ask the operator", 404);
    }
    request.spec = it->second;
    return boost::outcome_v2::success();
}

check_result readQueryText(const json &object, query_request &request)
{
    const json *text = findMember(object, "query");
    if (text == nullptr || !text->is_string())
        return refuse("missing-query", "query must be a string");
    request.text = text->get<std::string>();
    if (request.text.size() > maxQueryBytes)
        return refuse("too-long", "query is longer than 16384 bytes; shorten it", 413);
    return boost::outcome_v2::success();
}

check_result readServices(const json &object, const query_context &context, query_request &request)
{
    const json *services = findMember(object, "services");
    if (services == nullptr)
        return boost::outcome_v2::success();
    if (!services->is_array() || services->empty() || services->size() > maxServices) {
        return refuse("bad-services", "services must be a list of 1 to 1024 names; leave it out to "
                                      "ask all sharded services");
    }
    for (const json &entry : *services) {
        if (!entry.is_string())
            return refuse("bad-services", "services must hold names only");
        service_name name(entry.get<std::string>());
        if (name.value().size() > maxNameBytes || !context.knowsService(name)) {
            return refuse("unknown-service",
                          "a name in services is not known here; check the names", 404);
        }
        request.services.push_back(std::move(name));
    }
    auto &list = request.services;
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
    return boost::outcome_v2::success();
}

check_result readDeadline(const json &object, const query_context &context, query_request &request)
{
    request.arrival = context.now;
    request.deadline = context.now + request.spec.latencyTarget;
    const json *deadline = findMember(object, "deadlineMs");
    if (deadline == nullptr)
        return boost::outcome_v2::success();
    if (!deadline->is_number_integer()) {
        return refuse("bad-deadline", "deadlineMs must be a whole number of milliseconds from now");
    }
    const bool tooLarge = deadline->is_number_unsigned() &&
                          deadline->get<std::uint64_t>() >
                                  static_cast<std::uint64_t>(maxDeadline / milliseconds(1));
    if (tooLarge)
        return refuse("bad-deadline", "deadlineMs is above 600000; use a smaller one");
    const auto ms = deadline->get<std::int64_t>();
    if (ms <= 0)
        return refuse("expired", "the deadline has passed; send a deadlineMs above 0");
    request.deadline = context.now + milliseconds(ms);
    return boost::outcome_v2::success();
}

check_result readRepeatable(const json &object, query_request &request)
{
    const json *repeatable = findMember(object, "repeatable");
    if (repeatable == nullptr)
        return boost::outcome_v2::success();
    if (!repeatable->is_boolean())
        return refuse("bad-repeatable", "repeatable must be true or false");
    request.repeatable = repeatable->get<bool>();
    return boost::outcome_v2::success();
}

check_result readIssuedAt(const json &object, const query_context &context, query_request &request)
{
    const json *issuedAt = findMember(object, "issuedAt");
    if (issuedAt == nullptr)
        return boost::outcome_v2::success();
    // Larger values could overflow in the subtraction from the current time; this is the year 5138.
    constexpr std::int64_t maxEpochMs = 100000000000000;
    const bool isInteger = issuedAt->is_number_integer();
    const bool inRange = isInteger && (!issuedAt->is_number_unsigned() ||
                                       issuedAt->get<std::uint64_t>() <= maxEpochMs);
    const std::int64_t ms = inRange ? issuedAt->get<std::int64_t>() : -1;
    if (ms < 0) {
        return refuse("bad-issued-at", "issuedAt must be the time of issue in whole milliseconds "
                                       "since 1970-01-01 00:00 UTC");
    }
    request.issuedAt = wall_time(milliseconds(ms));
    if (*request.issuedAt > context.wallNow + maxIssueLead) {
        return refuse("bad-issued-at",
                      "issuedAt is more than 5 minutes in the future; correct the clock");
    }
    return boost::outcome_v2::success();
}

check_result checkNonRepeatable(const query_context &context, const query_request &request)
{
    if (request.repeatable)
        return boost::outcome_v2::success();
    if (request.id.value().empty()) {
        return refuse("missing-id", "a request that is not repeatable needs a requestId; choose "
                                    "one and use it for every try");
    }
    if (!request.issuedAt) {
        return refuse("missing-issued-at", "a request that is not repeatable needs issuedAt; use "
                                           "the time at which this try was issued");
    }
    if (context.wallNow - *request.issuedAt > maxIssueAge) {
        return refuse("too-old", "issuedAt is more than 12 hours ago; find out whether the request "
                                 "took effect before issuing a new one");
    }
    return boost::outcome_v2::success();
}

check_result readAll(const json &object, const query_context &context, query_request &request)
{
    BOOST_OUTCOME_TRYV(readId(object, request));
    BOOST_OUTCOME_TRYV(checkFields(object));
    BOOST_OUTCOME_TRYV(readClass(object, context, request));
    BOOST_OUTCOME_TRYV(readQueryText(object, request));
    BOOST_OUTCOME_TRYV(readRepeatable(object, request));
    BOOST_OUTCOME_TRYV(readServices(object, context, request));
    BOOST_OUTCOME_TRYV(readDeadline(object, context, request));
    BOOST_OUTCOME_TRYV(readIssuedAt(object, context, request));
    return checkNonRepeatable(context, request);
}

bool isNotRepeatable(const json &object)
{
    const json *repeatable = findMember(object, "repeatable");
    return repeatable != nullptr && *repeatable == false;
}

/// Returns true if another instance may accept the same body: its configuration or clock may
/// differ, or it may have received the body earlier or later.
bool dependsOnInstance(const std::string &kind)
{
    return kind == "unknown-class" || kind == "unknown-service" || kind == "bad-issued-at" ||
           kind == "too-old";
}

bool isAlphanumeric(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

} // namespace

bool isRequestId(std::string_view text)
{
    if (text.empty() || text.size() > maxRequestIdBytes || !isAlphanumeric(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return isAlphanumeric(c) || c == '.' || c == '_' || c == '-' || c == ':';
    });
}

bool isNonRepeatableBody(const std::string &body)
{
    const json object = json::parse(body, nullptr, false);
    return object.is_object() && isNotRepeatable(object);
}

parsed_query parseQuery(const std::string &body, const query_context &context)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object())
        return refuse("malformed", "the body is not a JSON object; send one as in docs/callers.md");
    query_request request;
    auto outcome = readAll(object, context, request);
    if (!outcome) {
        input_error e = std::move(outcome).error();
        e.id = request.id;
        if (isNotRepeatable(object) && dependsOnInstance(e.kind))
            e.ran = ran_state::Unknown;
        return boost::outcome_v2::failure(std::move(e));
    }
    if (request.id.value().empty())
        request.id = context.newId();
    return boost::outcome_v2::success(std::move(request));
}

} // namespace peridotwheel
