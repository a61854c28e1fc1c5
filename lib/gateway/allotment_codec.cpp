#include "allotment_codec.h"

#include "peer_types.h"
#include "peridotwheel/support/endpoint_text.h"
#include "thrift_text.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Limit on numbers of tokens that another instance states, so that sums cannot overflow.
constexpr std::int32_t maxTokens = 1000000;
/// Limit on the time until capacity that another instance states, so that times cannot overflow.
constexpr duration maxDelay = std::chrono::hours(24);

/// Limit on the level of a bucket that another instance states.
constexpr double maxLevel = 1e12;

bool isTokenCount(std::int32_t value)
{
    return value >= 0 && value <= maxTokens;
}

wire::AllotmentBucket toWire(const allotment_bucket_state &bucket)
{
    wire::AllotmentBucket out;
    out.team = bucket.team.value();
    out.id = static_cast<std::int64_t>(bucket.id.value());
    out.level = bucket.level;
    for (const auto &holder : bucket.holders) {
        wire::AllotmentHolder h;
        h.instance = holder.instance.value();
        h.process = static_cast<std::int64_t>(holder.process.value());
        h.sequence = static_cast<std::int64_t>(holder.sequence);
        h.used = holder.used;
        h.unused = holder.out;
        h.presumedUsed = holder.presumedUsed;
        h.expiryInUs = holder.expiryIn.count();
        out.holders.push_back(std::move(h));
    }
    return out;
}

result<allotment_bucket_state> fromWire(const wire::AllotmentBucket &in)
{
    allotment_bucket_state bucket;
    bucket.team = team_name(in.team);
    bucket.id = bucket_id(static_cast<std::uint64_t>(in.id));
    bucket.level = in.level;
    bool isValid = in.level >= -maxLevel && in.level <= maxLevel;
    for (const auto &h : in.holders) {
        isValid = isValid && isTokenCount(h.unused) && isTokenCount(h.presumedUsed) &&
                  h.expiryInUs >= 0 && h.expiryInUs <= duration(tokenValidity).count();
        bucket.holders.push_back({instance_id(h.instance),
                                  start_id(static_cast<std::uint64_t>(h.process)),
                                  static_cast<std::uint64_t>(h.sequence), h.used, h.unused,
                                  h.presumedUsed, duration(h.expiryInUs)});
    }
    if (!isValid)
        return failure(error_kind::InvalidArgument, "a bucket from another instance is invalid");
    return bucket;
}

std::optional<allotment_peer> readPeer(bool isSet, const std::string &id,
                                       const std::string &address)
{
    const auto at = isSet ? parseEndpoint(address) : std::nullopt;
    return at ? std::optional(allotment_peer{instance_id(id), *at}) : std::nullopt;
}

wire::AllotmentClaimAnswer toWire(const claim_answer &answer)
{
    wire::AllotmentClaimAnswer out;
    out.team = answer.team.value();
    out.outcome = static_cast<std::int32_t>(answer.result);
    if (answer.bucket)
        out.__set_bucket(toWire(*answer.bucket));
    if (answer.owner) {
        out.__set_owner(answer.owner->id.value());
        out.__set_ownerAddress(endpointText(answer.owner->address));
    }
    return out;
}

result<claim_answer> fromWire(const wire::AllotmentClaimAnswer &in)
{
    claim_answer answer;
    answer.team = team_name(in.team);
    answer.owner = readPeer(in.__isset.owner, in.owner, in.ownerAddress);
    constexpr auto last = static_cast<std::int32_t>(claim_result::Pending);
    // An outcome of a later build is no permission.
    answer.result = in.outcome >= 0 && in.outcome <= last ? static_cast<claim_result>(in.outcome)
                                                          : claim_result::Pending;
    if (answer.result != claim_result::Released)
        return answer;
    if (!in.__isset.bucket)
        return failure(error_kind::InvalidArgument, "another instance released no bucket");
    BOOST_OUTCOME_TRY(bucket, fromWire(in.bucket));
    answer.bucket = std::move(bucket);
    return answer;
}

} // namespace

std::string encodeAllotmentRequest(const allotment_request &request)
{
    wire::AllotmentRequest out;
    out.sender = request.sender.instance.value();
    out.process = static_cast<std::int64_t>(request.sender.process.value());
    out.sequence = static_cast<std::int64_t>(request.sender.sequence);
    for (const auto &report : request.reports) {
        wire::AllotmentReport r;
        r.team = report.team.value();
        r.used = report.used;
        r.unused = report.unused;
        r.waiting = std::min(report.waiting, maxTokens);
        r.inAdvance = std::min(report.inAdvance, maxTokens);
        out.reports.push_back(std::move(r));
    }
    if (request.address)
        out.__set_address(endpointText(*request.address));
    if (!request.claims.empty()) {
        std::vector<std::string> claims;
        for (const auto &team : request.claims)
            claims.push_back(team.value());
        out.__set_claims(claims);
        out.__set_isFinalClaim(request.isFinalClaim);
    }
    if (!request.ended.empty()) {
        std::vector<std::string> ended;
        for (const auto &id : request.ended)
            ended.push_back(id.value());
        out.__set_ended(ended);
    }
    if (!request.handedOver.empty()) {
        std::vector<wire::AllotmentBucket> buckets;
        for (const auto &bucket : request.handedOver)
            buckets.push_back(toWire(bucket));
        out.__set_handedOver(buckets);
    }
    out.__set_version(static_cast<std::int64_t>(request.version.value()));
    if (request.listRevision.value() != 0) {
        out.__set_listedAt(static_cast<std::int64_t>(request.listRevision.value()));
        out.__set_listedEra(static_cast<std::int64_t>(request.listRevision.era().value()));
    }
    return encodeThrift(out);
}

result<allotment_request> decodeAllotmentRequest(const std::string &text)
{
    BOOST_OUTCOME_TRY(in, decodeThrift<wire::AllotmentRequest>(text));
    allotment_request request;
    request.sender.instance = instance_id(in.sender);
    request.sender.process = start_id(static_cast<std::uint64_t>(in.process));
    request.sender.sequence = static_cast<std::uint64_t>(in.sequence);
    for (const auto &r : in.reports) {
        if (!isTokenCount(r.unused) || !isTokenCount(r.waiting) || !isTokenCount(r.inAdvance)) {
            return failure(error_kind::InvalidArgument,
                           "a number of tokens from another instance is invalid");
        }
        request.reports.push_back({team_name(r.team), r.used, r.unused, r.waiting, r.inAdvance});
    }
    if (in.__isset.address)
        request.address = parseEndpoint(in.address);
    for (const auto &team : in.claims)
        request.claims.emplace_back(team);
    request.isFinalClaim = in.__isset.isFinalClaim && in.isFinalClaim;
    for (const auto &id : in.ended)
        request.ended.emplace_back(id);
    for (const auto &bucket : in.handedOver) {
        BOOST_OUTCOME_TRY(state, fromWire(bucket));
        request.handedOver.push_back(std::move(state));
    }
    request.version = configuration_version(static_cast<std::uint64_t>(in.version));
    if (in.__isset.listedAt)
        request.listRevision = object_version(store_era(static_cast<std::uint64_t>(in.listedEra)),
                                              static_cast<std::uint64_t>(in.listedAt));
    return request;
}

std::string encodeAllotmentReply(const allotment_reply &reply)
{
    wire::AllotmentReply out;
    for (const auto &grant : reply.grants) {
        wire::AllotmentGrant g;
        g.team = grant.team.value();
        g.tokens = grant.tokens;
        g.isOwner = grant.isOwner;
        if (grant.capacityIn)
            g.__set_capacityInUs(std::min(*grant.capacityIn, maxDelay).count());
        g.__set_bucket(static_cast<std::int64_t>(grant.bucket.value()));
        if (grant.owner) {
            g.__set_owner(grant.owner->id.value());
            g.__set_ownerAddress(endpointText(grant.owner->address));
        }
        out.grants.push_back(std::move(g));
    }
    if (!reply.answers.empty()) {
        std::vector<wire::AllotmentClaimAnswer> answers;
        for (const auto &answer : reply.answers)
            answers.push_back(toWire(answer));
        out.__set_answers(answers);
    }
    out.__set_version(static_cast<std::int64_t>(reply.version.value()));
    return encodeThrift(out);
}

result<allotment_reply> decodeAllotmentReply(const std::string &text)
{
    BOOST_OUTCOME_TRY(in, decodeThrift<wire::AllotmentReply>(text));
    allotment_reply reply;
    for (const auto &g : in.grants) {
        const bool isDelayValid = !g.__isset.capacityInUs ||
                                  (g.capacityInUs >= 0 && g.capacityInUs <= maxDelay.count());
        if (!isTokenCount(g.tokens) || !isDelayValid) {
            return failure(error_kind::InvalidArgument, "a grant from another instance is invalid");
        }
        allotment_grant grant;
        grant.team = team_name(g.team);
        grant.tokens = g.tokens;
        grant.isOwner = g.isOwner;
        if (g.__isset.capacityInUs)
            grant.capacityIn = duration(g.capacityInUs);
        grant.bucket = bucket_id(static_cast<std::uint64_t>(g.bucket));
        grant.owner = readPeer(g.__isset.owner, g.owner, g.ownerAddress);
        reply.grants.push_back(std::move(grant));
    }
    for (const auto &a : in.answers) {
        BOOST_OUTCOME_TRY(answer, fromWire(a));
        reply.answers.push_back(std::move(answer));
    }
    reply.version = configuration_version(static_cast<std::uint64_t>(in.version));
    return reply;
}

} // namespace peridotwheel
