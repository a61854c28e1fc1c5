#include "allotment_codec.h"

#include "peer_types.h"
#include "thrift_text.h"

#include <algorithm>

namespace peridotwheel {

namespace {

/// Limit on numbers of tokens that another instance states, so that sums cannot overflow.
constexpr std::int32_t maxTokens = 1000000;
/// Limit on the time until capacity that another instance states, so that times cannot overflow.
constexpr duration maxDelay = std::chrono::hours(24);

bool isTokenCount(std::int32_t value)
{
    return value >= 0 && value <= maxTokens;
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
        out.grants.push_back(std::move(g));
    }
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
        reply.grants.push_back(std::move(grant));
    }
    return reply;
}

} // namespace peridotwheel
