#include "peridotwheel/platform/call_errors.h"

namespace peridotwheel {

namespace {

std::string statusText(const http_outcome &outcome)
{
    return "status " + std::to_string(outcome.reply.status);
}

} // namespace

bool isSuccess(const http_outcome &outcome)
{
    return outcome.ok() && outcome.reply.status >= 200 && outcome.reply.status < 300;
}

std::string describe(const object_key &key)
{
    return key.kind + "/" + key.name;
}

error readError(const http_outcome &outcome, const std::string &what)
{
    switch (outcome.failure) {
    case transport_failure::NotSent:
        return {error_kind::Unavailable, "platform unreachable, cannot read " + what};
    case transport_failure::MayHaveRun:
        return {error_kind::TimedOut, "no reply from the platform when reading " + what};
    case transport_failure::None:
        break;
    }
    if (outcome.reply.status == 404)
        return {error_kind::NotFound, "the platform holds no " + what};
    return {error_kind::Unavailable,
            "the platform answered with " + statusText(outcome) + " when reading " + what};
}

error writeError(const http_outcome &outcome, const std::string &what, write_refusal refusal)
{
    switch (outcome.failure) {
    case transport_failure::NotSent:
        return {error_kind::Unavailable, "platform unreachable, nothing was written to " + what};
    case transport_failure::MayHaveRun:
        return {error_kind::OutcomeUnknown,
                "no reply from the platform; the write may have taken effect, read back " + what};
    case transport_failure::None:
        break;
    }
    switch (refusal) {
    case write_refusal::NotFound:
        return {error_kind::NotFound, "the platform holds no " + what};
    case write_refusal::Conflict:
        return {error_kind::Conflict, what + " has changed; read it again"};
    case write_refusal::InvalidValue:
        return {error_kind::InvalidArgument,
                "the platform rejected the value of " + what + " with " + statusText(outcome)};
    case write_refusal::Overloaded:
        return {error_kind::Unavailable, "the platform is overloaded and answered with " +
                                                 statusText(outcome) + ", nothing was written to " +
                                                 what};
    case write_refusal::Unknown:
        break;
    }
    return {error_kind::OutcomeUnknown, "the platform answered with " + statusText(outcome) +
                                                "; the write may have taken effect, read back " +
                                                what};
}

} // namespace peridotwheel
