#ifndef PERIDOTWHEEL_CLAIMS_CLAIM_PROTOCOL_H
#define PERIDOTWHEEL_CLAIMS_CLAIM_PROTOCOL_H

#include "peridotwheel/claims/claim_finaliser.h"
#include "peridotwheel/claims/claim_options.h"
#include "peridotwheel/claims/claim_record.h"
#include "peridotwheel/support/event_loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotwheel {

/// Returns the answer to a try that this instance did not run, while an earlier try or a copy of it
/// may run or have run. \p why becomes part of the detail.
query_answer refusedUnconfirmed(const std::string &why);

/// One try to run one non-repeatable request at most once over all tries at all instances.
///
/// Each step looks at the record last seen and makes one conditional update:
///
///     absent                -> claimed by this try
///     released              -> claimed by this try if it was issued after the seal, else the try
///                              ends as not run
///     claimed by this try   -> sent, then the request is run, once
///     claimed by another    -> claimed by this try if it is old enough, else the try ends as in
///                              progress
///     sent by this try      -> released if the request certainly did not run
///     sent by another       -> the try ends as in progress or outcome unknown
///     done, failed          -> the try ends with the stored answer
///
/// The answer "not run" is given only once the store holds a seal, so that no copy of the request
/// runs later at another instance. A takeover needs no seal: the try that loses its claim has not
/// been answered as not run, since it would have sealed the record first. The takeover replaces the
/// claim in one update, since a status page that read a release in between would report the request
/// as not run.
///
/// A write whose reply is lost is followed by a read; the nonce identifies whose write took effect.
/// Without faults a request costs 3 platform writes (claimed, sent, done) and no reads.
class claim_protocol
{
public:
    /// Runs the request and passes its answer to the hook once.
    using run_hook = std::function<void(answer_hook)>;

    struct parameters
    {
        request_id id;
        instance_id self;
        std::string nonce; ///< Unique to this try.
        wall_time issuedAt{};
        time_point deadline;
        run_hook run;
        answer_hook done; ///< Called once, never from within `start`.
    };

    claim_protocol(event_loop &loop, platform_client &platform, claim_finaliser &finaliser,
                   const claim_options &options, parameters p);
    claim_protocol(const claim_protocol &) = delete;
    claim_protocol &operator=(const claim_protocol &) = delete;

    void start();
    /// Returns true once the request has been passed to the run hook.
    bool ran() const { return m_ran; }

private:
    struct versioned_record
    {
        claim_record record;
        object_version version;
    };

    void claim(write_condition condition, wall_time sealedUpTo);
    void write(claim_record record, write_condition condition);
    void readBack();
    void retryReadBack();
    void onWritten(const claim_record &record, const result<object_version> &r);
    void onRead(const result<platform_object> &r);
    void evaluate(const versioned_record &seen);
    void evaluateReleased(const versioned_record &seen);
    void evaluateOtherHolder(const versioned_record &seen);
    void runOnce(const versioned_record &seen);
    void onRunFinished(const versioned_record &seen, query_answer answer);

    /// Seals the record and then finishes with \p answer, which reports that nothing ran.
    void seal(object_version version, query_answer answer);
    void writeSeal(object_version version);
    claim_record sealRecord() const;

    /// Counts a platform call. Refuses the try and returns false beyond `maxPlatformCalls`.
    bool reservePlatformCall();
    bool isOwn(const claim_record &record) const { return record.nonce == m_parameters.nonce; }
    duration ageOf(wall_time t) const;
    void refuse(const std::string &why);
    void answerInProgress(const claim_record &record, duration wait);
    void finish(query_answer answer);

    event_loop &m_loop;
    platform_client &m_platform;
    claim_finaliser &m_finaliser;
    const claim_options &m_options;
    parameters m_parameters;
    wall_time m_claimedAt{};
    wall_time m_sealedUpTo{};
    /// Set while a seal is being written: the answer to give once the seal is stored.
    std::optional<query_answer> m_answerOnceSealed;
    /// Ends the try at its deadline, or a seal after `sealTimeout`.
    timer m_timeoutTimer;
    timer m_readBackTimer;
    int m_platformCalls = 0;
    bool m_claimMayExist = false;
    bool m_ran = false;
    bool m_finished = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peridotwheel

#endif
