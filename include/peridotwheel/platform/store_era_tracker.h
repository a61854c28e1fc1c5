#ifndef PERIDOTWHEEL_PLATFORM_STORE_ERA_TRACKER_H
#define PERIDOTWHEEL_PLATFORM_STORE_ERA_TRACKER_H

#include "peridotwheel/support/error.h"
#include "peridotwheel/support/ids.h"

#include <functional>
#include <optional>
#include <string>

namespace peridotwheel {

/// Follows the era that the platform's store states in its replies, and rejects replies that cannot
/// be ordered among the others.
class store_era_tracker
{
public:
    /// \p onInvalid is called with the reason for each reply whose era is rejected.
    explicit store_era_tracker(std::function<void(const std::string &reason)> onInvalid);

    /// Returns the era of a reply that states \p text. Fails if it is not a number, lower than one
    /// seen before, or missing although an earlier reply stated one: the revisions of such a reply
    /// may belong to a history that the store no longer has. While no reply has stated an era, all
    /// belong to era 0.
    result<store_era> read(const std::optional<std::string> &text);
    /// The highest era seen.
    store_era newest() const { return m_newest; }

private:
    result<store_era> reject(const std::string &reason);

    std::function<void(const std::string &reason)> m_onInvalid;
    store_era m_newest;
};

} // namespace peridotwheel

#endif
