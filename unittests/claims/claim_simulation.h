#ifndef PERIDOTWHEEL_UNITTESTS_CLAIMS_CLAIM_SIMULATION_H
#define PERIDOTWHEEL_UNITTESTS_CLAIMS_CLAIM_SIMULATION_H

#include "peridotwheel/claims/claiming_executor.h"
#include "peridotwheel/support/manual_loop.h"

#include <map>
#include <memory>
#include <vector>

namespace peridotwheel::test {

enum class call_outcome {
    Ok,
    ReplyLost,     ///< Takes effect, the reply is lost.
    EffectDelayed, ///< The reply is lost, the effect takes place later or never.
    Unavailable,   ///< Certainly no effect.
};

/// One platform call whose outcome the test has not chosen yet.
struct pending_call
{
    int instance;
    bool write;
    std::function<void(call_outcome)> complete;
};

/// An object store whose calls stay pending until the test chooses their outcomes.
class fake_store
{
public:
    std::map<std::string, platform_object> objects;
    std::vector<pending_call> calls;
    std::vector<std::function<void()>> delayedEffects;

    void complete(std::size_t index, call_outcome outcome)
    {
        const pending_call call = calls[index];
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(index));
        call.complete(outcome);
    }

    result<object_version> write(const object_key &key, const std::string &value,
                                 write_condition condition)
    {
        const auto it = objects.find(key.name);
        const bool matches =
                condition.version ? it != objects.end() && it->second.version == *condition.version
                                  : it == objects.end();
        if (!matches)
            return failure(error_kind::Conflict, "changed");
        objects[key.name] = {key, object_version(++m_revision), value};
        return object_version(m_revision);
    }

private:
    std::uint64_t m_revision = 0;
};

class fake_client : public platform_client
{
public:
    fake_client(fake_store &store, int instance)
        : m_store(store)
        , m_instance(instance)
    {
    }

    void get(const object_key &key, hook<platform_object> done) override
    {
        m_store.calls.push_back({m_instance, false, [this, key, done](call_outcome outcome) {
                                     if (outcome != call_outcome::Ok) {
                                         done(failure(error_kind::TimedOut, "no reply"));
                                         return;
                                     }
                                     const auto it = m_store.objects.find(key.name);
                                     if (it == m_store.objects.end()) {
                                         done(failure(error_kind::NotFound, "absent"));
                                         return;
                                     }
                                     done(platform_object(it->second));
                                 }});
    }

    void put(const object_key &key, const std::string &value, write_condition condition,
             hook<object_version> done) override
    {
        m_store.calls.push_back(
                {m_instance, true, [this, key, value, condition, done](call_outcome outcome) {
                     if (outcome == call_outcome::Unavailable) {
                         done(failure(error_kind::Unavailable, "connection refused"));
                         return;
                     }
                     const auto effect = [this, key, value, condition] {
                         return m_store.write(key, value, condition);
                     };
                     if (outcome == call_outcome::EffectDelayed)
                         m_store.delayedEffects.emplace_back([effect] { (void)effect(); });
                     if (outcome == call_outcome::EffectDelayed) {
                         done(failure(error_kind::OutcomeUnknown, "reply lost"));
                         return;
                     }
                     const auto written = effect();
                     if (outcome == call_outcome::ReplyLost) {
                         done(failure(error_kind::OutcomeUnknown, "reply lost"));
                         return;
                     }
                     done(written);
                 }});
    }

    void remove(const object_key &key, object_version version, hook<void> done) override
    {
        const auto it = m_store.objects.find(key.name);
        if (it == m_store.objects.end() || it->second.version != version) {
            done(failure(error_kind::Conflict, "changed"));
            return;
        }
        m_store.objects.erase(it);
        done(success());
    }

    void list(const std::string &, hook<watch_result> done) override
    {
        watch_result all;
        for (const auto &[name, object] : m_store.objects)
            all.changed.push_back(object);
        done(all);
    }
    void watch(const std::string &, object_version, duration, hook<watch_result>) override {}
    void instances(hook<instance_list>) override {}

private:
    fake_store &m_store;
    int m_instance;
};

enum class server_outcome {
    Runs,          ///< Executes and answers.
    RunsReplyLost, ///< Executes, the reply is lost.
    Refuses,       ///< Certainly does not execute.
};

/// Executes requests at once and answers when the loop runs.
class fake_server : public query_executor
{
public:
    fake_server(event_loop &loop, std::function<server_outcome()> outcome, int &executions)
        : m_loop(loop)
        , m_chooseOutcome(std::move(outcome))
        , m_executions(executions)
    {
    }

    void run(query_request, answer_hook done) override
    {
        const server_outcome outcome = m_chooseOutcome();
        query_answer answer;
        if (outcome != server_outcome::Refuses)
            ++m_executions;
        if (outcome == server_outcome::Runs) {
            answer.kind = answer_kind::Complete;
            answer.ran = ran_state::Yes;
            answer.detail = "booked";
        }
        if (outcome == server_outcome::RunsReplyLost)
            answer.ran = ran_state::Unknown;
        m_loop.post([done, answer] { done(answer); });
    }

private:
    event_loop &m_loop;
    std::function<server_outcome()> m_chooseOutcome;
    int &m_executions;
};

/// One instance with its own clock. A restart loses all requests in progress but not the store.
class fake_instance
{
public:
    fake_instance(fake_store &store, int number, std::function<server_outcome()> outcome,
                  int &executions)
        : m_client(store, number)
        , m_server(loop, std::move(outcome), executions)
        , m_number(number)
        , m_random(static_cast<std::uint64_t>(number))
    {
        restart();
    }

    void restart()
    {
        executor.reset();
        executor = std::make_unique<claiming_executor>(loop, m_client, m_server,
                                                       instance_id("i" + std::to_string(m_number)),
                                                       m_random, event_sink());
    }

    manual_loop loop;
    std::unique_ptr<claiming_executor> executor;

private:
    fake_client m_client;
    fake_server m_server;
    int m_number;
    random_source m_random;
};

inline query_request bookingRequest(wall_time issuedAt, time_point deadline)
{
    query_request request;
    request.id = request_id("booking-17");
    request.repeatable = false;
    request.issuedAt = issuedAt;
    request.deadline = deadline;
    return request;
}

} // namespace peridotwheel::test

#endif
