#include "peridotwheel/platform/http_platform_client.h"

#include "peridotwheel/platform/call_errors.h"
#include "peridotwheel/support/uri_text.h"
#include "platform_json.h"

namespace peridotwheel {

/// State that calls in flight refer to.
struct http_platform_client::shared
{
    health_hook onHealth;
};

namespace {

std::string path(const object_key &key)
{
    return "/objects/" + percentEncoded(key.kind) + "/" + percentEncoded(key.name);
}

write_refusal refusalOf(int status)
{
    switch (status) {
    case 404:
        return write_refusal::NotFound;
    case 412:
        return write_refusal::Conflict;
    case 400:
    case 413:
        return write_refusal::InvalidValue;
    case 429:
        return write_refusal::Overloaded;
    default:
        return write_refusal::Unknown;
    }
}

error writeError(const http_outcome &outcome, const object_key &key)
{
    return writeError(outcome, describe(key), refusalOf(outcome.reply.status));
}

/// Reads a list by \p read and reports the entries that were left out.
template <class Read>
auto readList(const http_platform_options &options, Read read)
{
    skipped_entries skipped;
    auto list = read(skipped);
    if (skipped.count > 0 && options.onEntriesSkipped)
        options.onEntriesSkipped(skipped.count, skipped.first);
    return list;
}

} // namespace

http_platform_client::http_platform_client(http_client &http, http_platform_options options,
                                           health_hook onHealth)
    : m_http(http)
    , m_options(std::move(options))
    , m_shared(std::make_shared<shared>(shared{std::move(onHealth)}))
{
}

http_platform_client::~http_platform_client() = default;

void http_platform_client::setHealthHook(health_hook onHealth)
{
    m_shared->onHealth = std::move(onHealth);
}

void http_platform_client::send(http_method method, std::string path, http_headers headers,
                                std::string body, duration timeout, reply_hook done)
{
    http_request request;
    request.method = method;
    request.path = std::move(path);
    request.headers = std::move(headers);
    request.headers.emplace_back("X-Data-Centre", m_options.dataCentre.value());
    if (!body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    request.body = std::move(body);
    std::weak_ptr<shared> weak = m_shared;
    m_http.send(m_options.platform, request, timeout,
                [weak, done = std::move(done)](const http_outcome &outcome) {
                    const auto self = weak.lock();
                    if (!self)
                        return;
                    if (self->onHealth)
                        self->onHealth(outcome.ok() && outcome.reply.status < 500);
                    done(outcome);
                });
}

void http_platform_client::get(const object_key &key, hook<platform_object> done)
{
    send(http_method::Get, path(key), {}, {}, m_options.timeout,
         [key, done = std::move(done)](const http_outcome &outcome) {
             if (!isSuccess(outcome))
                 return done(readError(outcome, describe(key)));
             done(objectFromJson(key, outcome.reply.body));
         });
}

void http_platform_client::put(const object_key &key, const std::string &value,
                               write_condition condition, hook<object_version> done)
{
    http_headers headers;
    if (condition.version)
        headers.emplace_back("If-Match", std::to_string(condition.version->value()));
    else
        headers.emplace_back("If-None-Match", "*");
    send(http_method::Put, path(key), std::move(headers), value, m_options.timeout,
         [key, done = std::move(done)](const http_outcome &outcome) {
             if (!isSuccess(outcome))
                 return done(writeError(outcome, key));
             auto version = versionFromJson(outcome.reply.body);
             if (!version)
                 return done(error{error_kind::OutcomeUnknown, version.error().message});
             done(version.value());
         });
}

void http_platform_client::remove(const object_key &key, object_version version, hook<void> done)
{
    send(http_method::Delete, path(key), {{"If-Match", std::to_string(version.value())}}, {},
         m_options.timeout, [key, done = std::move(done)](const http_outcome &outcome) {
             if (!isSuccess(outcome))
                 return done(writeError(outcome, key));
             done(success());
         });
}

void http_platform_client::list(const std::string &kind, hook<watch_result> done)
{
    send(http_method::Get, "/objects/" + percentEncoded(kind), {}, {}, m_options.timeout,
         [this, kind, done = std::move(done)](const http_outcome &outcome) {
             if (!isSuccess(outcome))
                 return done(readError(outcome, "objects of kind " + kind));
             done(readList(m_options, [&](skipped_entries &skipped) {
                 return listFromJson(kind, outcome.reply.body, skipped);
             }));
         });
}

void http_platform_client::watch(const std::string &kind, object_version since, duration wait,
                                 hook<watch_result> done)
{
    const auto waitMs = std::chrono::duration_cast<milliseconds>(wait).count();
    send(http_method::Get,
         "/watch/" + percentEncoded(kind) + "?since=" + std::to_string(since.value()) +
                 "&timeoutMs=" + std::to_string(waitMs),
         {}, {}, wait + m_options.watchMargin,
         [this, kind, done = std::move(done)](const http_outcome &outcome) {
             if (outcome.ok() && outcome.reply.status == 410) {
                 watch_result compacted;
                 compacted.compacted = true;
                 return done(std::move(compacted));
             }
             if (!isSuccess(outcome))
                 return done(readError(outcome, "changes of kind " + kind));
             done(readList(m_options, [&](skipped_entries &skipped) {
                 return watchFromJson(kind, outcome.reply.body, skipped);
             }));
         });
}

void http_platform_client::instances(hook<instance_list> done)
{
    send(http_method::Get, "/instances", {}, {}, m_options.timeout,
         [this, done = std::move(done)](const http_outcome &outcome) {
             if (!isSuccess(outcome))
                 return done(readError(outcome, "instance list"));
             done(readList(m_options, [&](skipped_entries &skipped) {
                 return instancesFromJson(outcome.reply.body, skipped);
             }));
         });
}

} // namespace peridotwheel
