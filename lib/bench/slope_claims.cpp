// Costs of requests that are not repeatable.

#include "peridotwheel/claims/claiming_executor.h"
#include "slope_fleet.h"

#include <stdexcept>

namespace peridotwheel {

namespace {

const std::vector<std::size_t> requestCounts{500, 1000, 2000, 4000};

/// Answers at the next turn of the loop, as a plain service would.
class instant_executor : public query_executor
{
public:
    explicit instant_executor(event_loop &loop)
        : m_loop(loop)
    {
    }
    void run(query_request, answer_hook done) override
    {
        m_loop.post([done = std::move(done)] {
            query_answer answer;
            answer.kind = answer_kind::Complete;
            answer.ran = ran_state::Yes;
            answer.results.push_back({shard_id(0x80000000), R"({"booked":true})"});
            done(answer);
        });
    }

private:
    event_loop &m_loop;
};

struct claim_cost
{
    double writes = 0;
    double reads = 0;
    double cpu = 0;
    double stored = 0;
};

claim_cost costOfClaims(std::size_t count, std::uint64_t seed)
{
    manual_loop loop;
    memory_platform platform(loop);
    instant_executor inner(loop);
    random_source random(seed);
    claiming_executor claims(loop, platform, inner, fleetMember(0).id, random, event_sink());
    std::size_t done = 0;
    claim_cost cost;
    cost.cpu = cpuMicroseconds([&] {
        for (std::size_t i = 0; i < count; ++i) {
            query_request r;
            r.id = request_id("booking-" + std::to_string(i));
            r.spec = {class_name("booking"), seconds(2), 0.99, 1.0, class_rank(2)};
            r.text = "book";
            r.arrival = loop.now();
            r.deadline = r.arrival + seconds(2);
            r.repeatable = false;
            r.issuedAt = loop.wallNow();
            claims.run(std::move(r), [&](const query_answer &a) {
                done += a.kind == answer_kind::Complete ? 1 : 0;
            });
            loop.advance(milliseconds(1));
        }
    });
    if (done != count)
        throw std::runtime_error("not every request was answered as done");
    cost.writes = static_cast<double>(platform.writes());
    cost.reads = static_cast<double>(platform.reads());
    cost.stored = static_cast<double>(platform.storedBytes());
    return cost;
}

slope over(std::string name, std::string unit, double claim_cost::*field)
{
    return {std::move(name), "non-repeatable requests", std::move(unit),
            [field](std::uint64_t seed) {
                return pointsAt(requestCounts,
                                [=](auto n) { return costOfClaims(n, seed).*field; });
            }};
}

} // namespace

void addClaimSlopes(std::vector<slope> &list)
{
    list.push_back(over("claim-writes", "platform writes in all", &claim_cost::writes));
    list.push_back(over("claim-reads", "platform reads in all", &claim_cost::reads));
    list.push_back(over("claim-cpu", "microseconds in all", &claim_cost::cpu));
    list.push_back(over("claim-bytes", "bytes stored at the platform", &claim_cost::stored));
}

} // namespace peridotwheel
