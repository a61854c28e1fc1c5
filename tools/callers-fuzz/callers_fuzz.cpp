#include "peridotwheel/entry/caller_service.h"
#include "peridotwheel/support/manual_loop.h"

#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

/// libFuzzer target over the callers' interface: the first byte chooses method and path, the rest
/// is the body or the end of the path. Every input must get exactly one reply that parses, and
/// nothing may be refused after it reached the executor.

using namespace peridotwheel;

namespace {

struct checked_reply : http_responder
{
    void reply(const http_reply &r) override
    {
        ++count;
        last = r;
    }
    void onClientDisconnected(std::function<void()>) override {}
    void drop() override {}

    int count = 0;
    http_reply last;
};

/// Answers with what the text of the query says, so that the fuzzer reaches the rendering too.
struct echo_executor : query_executor
{
    explicit echo_executor(event_loop &l)
        : loop(l)
    {
    }

    void run(query_request request, answer_hook done) override
    {
        ++runs;
        query_answer answer;
        const std::size_t n = request.text.size();
        answer.kind = static_cast<answer_kind>(n % 10);
        answer.ran = static_cast<ran_state>(n % 3);
        answer.detail = request.text;
        answer.covered = {1, 2, {shard_id(2)}};
        loop.post([done = std::move(done), answer] { done(answer); });
    }

    event_loop &loop;
    int runs = 0;
};

void require(bool condition, const char *what)
{
    if (condition)
        return;
    std::fprintf(stderr, "violated: %s\n", what);
    std::abort();
}

class harness
{
public:
    harness()
    {
        configuration_document document;
        class_spec spec;
        spec.name = class_name("a");
        spec.latencyTarget = milliseconds(140);
        document.classes[spec.name] = spec;
        m_board.configuration.set(document);
        snapshot_set snapshots;
        snapshots.current = std::make_shared<shard_map>(
                shard_map{index_version(1), {{shard_id(1), service_name("s"), {server_id("x")}}}});
        m_board.snapshots.set(snapshots);
        m_board.phase.set({lifecycle_phase::Serving});
    }

    void feed(std::uint8_t selector, const std::string &data)
    {
        static const char *const paths[] = {"/query", "/status/", "/status/class/", "/"};
        const bool post = selector % 4 == 0;
        const std::string path = paths[selector % 4] + (post ? std::string() : data);
        const http_method method = post ? http_method::Post : http_method::Get;
        auto out = std::make_shared<checked_reply>();
        m_service.handle({method, path, {}, data}, out);
        m_loop.advance(seconds(3));
        require(out->count == 1, "every request gets one reply");
        if (post)
            checkAnswer(out->last);
    }

private:
    static void checkAnswer(const http_reply &reply)
    {
        const auto body = nlohmann::json::parse(reply.body, nullptr, false);
        require(body.is_object(), "the reply is a JSON object");
        require(body.contains("ran") && body.contains("status"), "the reply states ran and status");
        const auto status = body["status"].get<std::string>();
        require(status.find("\nformat: 1\n") != std::string::npos, "the second line is the format");
        require(reply.status == 200 || body.contains("message"), "errors name a remedy");
    }

    manual_loop m_loop;
    blackboard m_board;
    echo_executor m_executor{m_loop};
    counter_set m_counters;
    caller_service m_service{
            m_loop,
            m_board,
            m_executor,
            {[](const claim_lookup_request &, const auto &hook) { hook(claim_lookup_result{}); },
             {},
             {}},
            m_counters,
            {},
            {}};
};

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t *data, // NOLINT(readability-identifier-naming)
                       std::size_t size)
{
    static harness target;
    if (size == 0)
        return 0;
    target.feed(data[0], std::string(reinterpret_cast<const char *>(data) + 1, size - 1));
    return 0;
}
