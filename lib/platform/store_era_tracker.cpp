#include "peridotwheel/platform/store_era_tracker.h"

#include <algorithm>
#include <charconv>

namespace peridotwheel {

store_era_tracker::store_era_tracker(std::function<void(const std::string &reason)> onInvalid)
    : m_onInvalid(std::move(onInvalid))
{
}

result<store_era> store_era_tracker::reject(const std::string &reason)
{
    if (m_onInvalid)
        m_onInvalid(reason);
    return failure(error_kind::InvalidArgument, reason);
}

result<store_era> store_era_tracker::read(const std::optional<std::string> &text)
{
    if (!text) {
        if (m_newest == store_era())
            return store_era();
        return reject("the store's reply states no era, although earlier ones did");
    }
    std::uint64_t number = 0;
    const char *end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return reject("the era in the store's reply is not a number");
    const store_era era(number);
    if (era < m_newest)
        return reject("the store's reply states era " + std::to_string(number) +
                      ", which is lower than " + std::to_string(m_newest.value()));
    m_newest = era;
    return era;
}

} // namespace peridotwheel
