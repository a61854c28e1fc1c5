#include "peridotwheel/status/status_text.h"

#include <algorithm>
#include <cctype>
#include <cstdio>

namespace peridotwheel {

namespace {

/// Collects `key: value` lines. Replaces control characters in values by spaces, so that no value
/// can add a line.
class line_writer
{
public:
    line_writer(const status_words &words, const advice &a, const char *page)
        : m_text(verdictLine(words, a) + "\n")
    {
        line("format", std::to_string(statusFormat));
        line("page", page);
    }

    void line(const char *key, const std::string &value)
    {
        m_text += key;
        m_text += ": ";
        for (const char c : value)
            m_text += std::iscntrl(static_cast<unsigned char>(c)) != 0 ? ' ' : c;
        m_text += '\n';
    }

    std::string take() { return std::move(m_text); }

private:
    std::string m_text;
};

std::string orDash(const std::string &value)
{
    return value.empty() ? "-" : value;
}

std::string shortNumber(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%g", value);
    return buffer;
}

std::string millisecondsText(duration d)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
}

std::string missingText(const coverage &covered)
{
    // Keeps the line readable; scripts find the full list in the JSON answer.
    constexpr std::size_t maxListed = 32;
    if (covered.missing.empty())
        return "none";
    std::string out;
    const std::size_t listed = std::min(covered.missing.size(), maxListed);
    for (std::size_t i = 0; i < listed; ++i)
        out += (i == 0 ? "" : ",") + std::to_string(covered.missing[i].value());
    if (listed < covered.missing.size())
        out += " and " + std::to_string(covered.missing.size() - listed) + " more";
    return out;
}

bool mayHaveRun(const query_answer &answer)
{
    return answer.ran != ran_state::No || answer.kind == answer_kind::OutcomeUnknown;
}

advice retryAdvice(const query_answer &answer, duration fallback)
{
    return {verdict::Retry, answer.retryAfter.value_or(fallback)};
}

void requestLines(line_writer &out, const request_status &status)
{
    out.line("request", orDash(status.id.value()));
    out.line("class", orDash(status.className.value()));
    const bool refusedInput = status.answer && status.answer->kind == answer_kind::RefusedInput;
    const char *repeatable = status.repeatable ? "yes" : "no";
    out.line("repeatable", refusedInput ? "-" : repeatable);
    if (!status.answer) {
        out.line("state", "in-progress");
        out.line("ran", toString(ran_state::Unknown));
        out.line("coverage", "-");
        out.line("missing", "-");
        out.line("version", "-");
        out.line("detail", "the request is being processed; ask again");
        return;
    }
    const query_answer &answer = *status.answer;
    const bool hasCoverage = answer.covered.total != 0;
    out.line("state", toString(answer.kind));
    out.line("ran", toString(answer.ran));
    out.line("coverage", hasCoverage ? std::to_string(answer.covered.answered) + "/" +
                                               std::to_string(answer.covered.total)
                                     : "-");
    out.line("missing", hasCoverage ? missingText(answer.covered) : "-");
    out.line("version", answer.version.value() == 0 ? "-" : std::to_string(answer.version.value()));
    out.line("detail", orDash(answer.detail));
}

void loadLines(line_writer &out, const class_load &load)
{
    out.line("queued", std::to_string(load.queued));
    out.line("running", std::to_string(load.running));
    out.line("estimated-wait-ms", millisecondsText(load.estimatedWait));
}

advice adviceForLoad(const class_load &load, lifecycle_phase phase)
{
    if (phase != lifecycle_phase::Serving)
        return {verdict::Wait, defaultWaitDelay};
    if (load.retryAfter)
        return {verdict::Retry, *load.retryAfter};
    return {verdict::Done, {}};
}

} // namespace

const char *toString(answer_kind kind)
{
    switch (kind) {
    case answer_kind::Complete:
        return "complete";
    case answer_kind::Partial:
        return "partial";
    case answer_kind::Expired:
        return "expired";
    case answer_kind::RefusedLoad:
        return "refused-load";
    case answer_kind::RefusedInput:
        return "refused-input";
    case answer_kind::RefusedState:
        return "refused-state";
    case answer_kind::RefusedClaim:
        return "refused-claim";
    case answer_kind::InProgress:
        return "in-progress";
    case answer_kind::OutcomeUnknown:
        return "outcome-unknown";
    case answer_kind::Failed:
        return "failed";
    }
    return "failed";
}

const char *toString(ran_state ran)
{
    switch (ran) {
    case ran_state::Yes:
        return "yes";
    case ran_state::No:
        return "no";
    case ran_state::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char *toString(lifecycle_phase phase)
{
    switch (phase) {
    case lifecycle_phase::Starting:
        return "starting";
    case lifecycle_phase::Serving:
        return "serving";
    case lifecycle_phase::Draining:
        return "draining";
    case lifecycle_phase::Stopped:
        return "stopped";
    }
    return "stopped";
}

advice adviceFor(const query_answer &answer, bool repeatable, double coverageTarget)
{
    const bool meetsCoverageTarget = answer.covered.share() >= coverageTarget;
    const bool ranForSure = repeatable || answer.ran == ran_state::Yes;
    if (answer.kind == answer_kind::Complete)
        return {ranForSure ? verdict::Done : verdict::GiveUp, {}};
    if (answer.kind == answer_kind::RefusedInput)
        return {verdict::GiveUp, {}};
    if (answer.kind == answer_kind::InProgress)
        return {verdict::Wait, answer.retryAfter.value_or(defaultWaitDelay)};
    if (answer.kind == answer_kind::Partial && (meetsCoverageTarget || !repeatable))
        return {ranForSure ? verdict::Done : verdict::GiveUp, {}};
    // The claim store may show later whether a copy ran.
    const bool refused =
            answer.kind == answer_kind::RefusedClaim || answer.kind == answer_kind::RefusedState;
    const bool mayHaveRunElsewhere = refused && answer.ran == ran_state::Unknown;
    if (!repeatable && mayHaveRunElsewhere)
        return {verdict::Wait, platformRetryDelay};
    if (!repeatable && mayHaveRun(answer))
        return {verdict::GiveUp, {}};
    const bool needsPlatform = answer.kind == answer_kind::RefusedClaim;
    return retryAdvice(answer, needsPlatform ? platformRetryDelay : defaultRetryDelay);
}

std::string verdictLine(const status_words &words, const advice &a)
{
    const auto wholeSeconds = std::chrono::ceil<seconds>(std::max<duration>(a.delay, seconds(1)));
    const std::string delay = std::to_string(wholeSeconds.count()) + " s";
    switch (a.action) {
    case verdict::Retry:
        return words.retry + " after " + delay;
    case verdict::Wait:
        return words.wait + " " + delay;
    case verdict::GiveUp:
        return words.giveUp;
    case verdict::Done:
        return words.done;
    }
    return words.giveUp;
}

std::string requestStatusText(const status_words &words, const request_status &status)
{
    advice a{verdict::Wait, defaultWaitDelay};
    if (status.answer)
        a = adviceFor(*status.answer, status.repeatable, status.coverageTarget);
    line_writer out(words, a, "request");
    requestLines(out, status);
    return out.take();
}

std::string unknownRequestText(const status_words &words, const request_id &id, claim_search search)
{
    const bool found = search == claim_search::NotFound;
    // Asking again helps only if the claim store may become reachable.
    const advice a = search == claim_search::Unreachable ? advice{verdict::Wait, platformRetryDelay}
                                                         : advice{verdict::GiveUp, {}};
    line_writer out(words, a, "request");
    out.line("request", id.value());
    out.line("state", "unknown-here");
    out.line("ran", toString(ran_state::Unknown));
    out.line("asked", found ? "this-instance,claim-store" : "this-instance");
    out.line("not-asked", found ? "other-instances" : "claim-store,other-instances");
    const char *detail = "not seen by this instance lately and no claim record was returned; a "
                         "repeatable request may be sent again; check the effect of any other";
    if (search == claim_search::Unreachable) {
        detail = "not seen by this instance lately and the claim store could not be asked; a "
                 "repeatable request may be sent again; ask again later about any other";
    }
    if (search == claim_search::NotAsked) {
        detail = "not seen by this instance lately; a repeatable request may be sent again; check "
                 "the effect of any other";
    }
    out.line("detail", detail);
    return out.take();
}

std::string classStatusText(const status_words &words, const class_spec &spec,
                            const class_load &load, lifecycle_phase phase)
{
    line_writer out(words, adviceForLoad(load, phase), "class");
    out.line("class", spec.name.value());
    out.line("rank", std::to_string(spec.rank.value()));
    out.line("target-ms", millisecondsText(spec.latencyTarget));
    out.line("quantile", shortNumber(spec.quantile));
    out.line("coverage-target", shortNumber(spec.coverageTarget));
    out.line("phase", toString(phase));
    loadLines(out, load);
    out.line("accepting", load.retryAfter || phase != lifecycle_phase::Serving ? "limited" : "yes");
    return out.take();
}

std::string unknownClassText(const status_words &words, const class_name &name)
{
    line_writer out(words, {verdict::GiveUp, {}}, "class");
    out.line("class", name.value());
    out.line("state", "unknown-class");
    out.line("detail", "no such class in the configuration; see GET /status for the version in "
                       "force or ask the operator");
    return out.take();
}

std::string systemStatusText(const status_words &words, const system_status &status)
{
    const bool ready = status.classes != 0 && status.snapshot;
    advice a = adviceForLoad(status.load, status.phase);
    if (!ready)
        a = {verdict::Wait, defaultWaitDelay};
    line_writer out(words, a, "system");
    out.line("instance", orDash(status.instance.value()));
    out.line("phase", toString(status.phase));
    out.line("configuration", std::to_string(status.configuration.value()));
    out.line("classes", std::to_string(status.classes));
    out.line("snapshot", status.snapshot ? std::to_string(status.snapshot->value()) : "-");
    out.line("platform", status.platform.reachable ? "reachable" : "unreachable");
    out.line("platform-since-ms", std::to_string(status.platform.since.time_since_epoch().count()));
    out.line("in-progress", std::to_string(status.inProgress));
    loadLines(out, status.load);
    return out.take();
}

std::string refusedInputText(const status_words &words, const request_id &id,
                             const std::string &detail, ran_state ran)
{
    query_answer answer;
    answer.kind = answer_kind::RefusedInput;
    answer.ran = ran;
    answer.detail = detail;
    request_status status;
    status.id = id;
    status.answer = answer;
    return requestStatusText(words, status);
}

} // namespace peridotwheel
