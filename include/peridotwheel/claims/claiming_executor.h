#ifndef PERIDOTWHEEL_CLAIMS_CLAIMING_EXECUTOR_H
#define PERIDOTWHEEL_CLAIMS_CLAIMING_EXECUTOR_H

#include "peridotwheel/claims/claim_finaliser.h"
#include "peridotwheel/claims/claim_lookup.h"
#include "peridotwheel/claims/claim_options.h"
#include "peridotwheel/claims/claim_protocol.h"
#include "peridotwheel/query/query_executor.h"
#include "peridotwheel/support/random_source.h"
#include "peridotwheel/timeline/timeline_event.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace peridotwheel {

/// Runs non-repeatable requests at most once by means of a claim in the platform's object API, and
/// passes repeatable ones to the inner executor unchanged.
class claiming_executor : public query_executor
{
public:
    /// \p inner runs the requests; it must report `ran_state::No` only if nothing ran or will run.
    /// \p random generates the nonces and must be seeded differently in each process. \p events may
    /// be empty.
    claiming_executor(event_loop &loop, platform_client &platform, query_executor &inner,
                      instance_id self, random_source &random, event_sink events,
                      claim_options options = {});
    ~claiming_executor() override = default;

    void run(query_request request, answer_hook done) override;

    /// Returns the number of records whose final state is still to be written; a graceful shutdown
    /// waits for 0.
    std::size_t pendingRecords() const { return m_finaliser.pending(); }
    /// Returns the number of non-repeatable requests whose answer is outstanding.
    std::size_t activeClaims() const { return m_active.size(); }

private:
    struct active_try
    {
        request_id id;
        std::unique_ptr<claim_protocol> protocol;
    };
    using serial = std::uint64_t;

    void runClaimed(const query_request &request, answer_hook done);
    void refuse(answer_hook done, std::string detail);
    /// Answers a request that is too old to run with what the store records about earlier tries.
    void refuseTooOld(const request_id &id, duration age, answer_hook done);
    claim_protocol::parameters parametersFor(serial s, const query_request &request,
                                             answer_hook done);
    std::string generateNonce();
    void onAnswer(serial s, const answer_hook &done, query_answer answer);
    void emitEvent(const request_id &id, const class_name &name, std::string text);

    event_loop &m_loop;
    platform_client &m_platform;
    query_executor &m_inner;
    instance_id m_self;
    random_source &m_random;
    event_sink m_events;
    claim_options m_options;
    claim_finaliser m_finaliser;
    claim_lookup m_lookup;
    std::unordered_map<serial, active_try> m_active;
    serial m_nextSerial = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peridotwheel

#endif
