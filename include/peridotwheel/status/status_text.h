#ifndef PERIDOTWHEEL_STATUS_STATUS_TEXT_H
#define PERIDOTWHEEL_STATUS_STATUS_TEXT_H

#include "peridotwheel/configuration/configuration_document.h"
#include "peridotwheel/limits/class_load.h"
#include "peridotwheel/query/query.h"
#include "peridotwheel/state/blackboard.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotwheel {

/// Version of the line format, shown in the second line of every status text. Increment it when the
/// names, order or meaning of lines change.
constexpr int statusFormat = 1;

/// What a caller's script should do next.
enum class verdict { Retry, Wait, GiveUp, Done };

struct advice
{
    verdict action = verdict::GiveUp;
    /// Shown for `Retry` and `Wait`, in whole seconds rounded up, at least one.
    duration delay{};
};

/// Delay shown when a retry is advised and no better estimate is known.
constexpr duration defaultRetryDelay = seconds(1);
/// Delay shown for `Wait`.
constexpr duration defaultWaitDelay = seconds(1);
/// Delay shown when the platform must become reachable first; its outages last seconds to minutes.
constexpr duration platformRetryDelay = seconds(5);

/// Derives the advice from the state alone. A request that is not repeatable and may have run never
/// gets `Retry`.
advice adviceFor(const query_answer &answer, bool repeatable, double coverageTarget);

/// The first line, without line end: `retry after 3 s`, `wait 1 s`, `give up` or `done`.
std::string verdictLine(const status_words &words, const advice &a);

const char *toString(answer_kind kind);
const char *toString(ran_state ran);
const char *toString(lifecycle_phase phase);

/// State of one request in this instance's view.
struct request_status
{
    request_id id;
    /// Empty if only the claim store has a record of the request.
    class_name className;
    bool repeatable = true;
    double coverageTarget = 1.0;
    /// Empty while in progress.
    std::optional<query_answer> answer;
};

std::string requestStatusText(const status_words &words, const request_status &status);

/// Result of the claim store lookup for a request that the instance has not received itself.
enum class claim_search {
    NotFound,    ///< The claim store was asked and returned no record.
    Unreachable, ///< The claim store could not be asked or did not answer in time.
    NotAsked,    ///< This instance has no access to the claim store.
};

std::string unknownRequestText(const status_words &words, const request_id &id,
                               claim_search search);

std::string classStatusText(const status_words &words, const class_spec &spec,
                            const class_load &load, lifecycle_phase phase);
std::string unknownClassText(const status_words &words, const class_name &name);

/// State of one instance as a whole.
struct system_status
{
    instance_id instance;
    lifecycle_phase phase = lifecycle_phase::Starting;
    object_version configuration;
    std::uint32_t classes = 0;
    std::optional<index_version> snapshot;
    platform_health platform;
    std::uint32_t inProgress = 0;
    class_load load;
};

std::string systemStatusText(const status_words &words, const system_status &status);

/// Status text of a request that was refused because of its content. \p ran is `Unknown` if another
/// instance may have accepted it.
std::string refusedInputText(const status_words &words, const request_id &id,
                             const std::string &detail, ran_state ran = ran_state::No);

} // namespace peridotwheel

#endif
