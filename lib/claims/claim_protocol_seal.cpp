#include "peridotwheel/claims/claim_protocol.h"

#include <algorithm>

namespace peridotwheel {

namespace {

constexpr duration sealedRetryAfter = seconds(2);

} // namespace

query_answer refusedUnconfirmed(const std::string &why)
{
    query_answer answer;
    answer.kind = answer_kind::RefusedClaim;
    answer.ran = ran_state::Unknown;
    answer.detail = "this instance did not run this try and will not, but an earlier try or a copy "
                    "of it may run or have run: " +
                    why + "; ask GET /status/ID later";
    return answer;
}

void claim_protocol::evaluateReleased(const versioned_record &seen)
{
    if (!seals(seen.record, m_parameters.issuedAt)) {
        if (m_answerOnceSealed) {
            refuse("the store holds a release that does not seal this try");
            return;
        }
        claim(write_condition::at(seen.version), seen.record.sealedUpTo);
        return;
    }
    if (m_answerOnceSealed) {
        finish(*m_answerOnceSealed);
        return;
    }
    query_answer answer;
    answer.kind = answer_kind::RefusedClaim;
    answer.retryAfter = sealedRetryAfter;
    answer.detail = "not run and will not run: a try with this or a later issuedAt was answered as "
                    "not run, which holds for its copies as well; send it again with the same "
                    "requestId and a new issuedAt";
    finish(std::move(answer));
}

void claim_protocol::seal(object_version version, query_answer answer)
{
    answer.detail += answer.detail.empty() ? "" : "; ";
    answer.detail += "another try needs the same requestId and a new issuedAt";
    m_answerOnceSealed = std::move(answer);
    m_timeoutTimer = m_loop.schedule(m_options.sealTimeout, [this] {
        if (!m_finished)
            refuse("the store did not confirm in time the seal that rules out a later run");
    });
    writeSeal(version);
}

void claim_protocol::writeSeal(object_version version)
{
    write(sealRecord(), write_condition::at(version));
}

claim_record claim_protocol::sealRecord() const
{
    claim_record record;
    record.state = claim_state::Released;
    record.nonce = m_parameters.nonce;
    record.instance = m_parameters.self;
    record.claimedAt = m_claimedAt;
    record.issuedAt = m_parameters.issuedAt;
    record.sealedUpTo = std::max(m_sealedUpTo, m_parameters.issuedAt);
    return record;
}

} // namespace peridotwheel
