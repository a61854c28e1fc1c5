#include "record_merge.h"

#include <algorithm>
#include <cstring>

namespace peridotwheel {

std::string greatestRecords(const std::vector<answer_part> &parts, std::size_t count)
{
    std::vector<const char *> records;
    for (const answer_part &part : parts) {
        const std::size_t whole = part.records.size() / recordBytes;
        for (std::size_t i = 0; i < whole; ++i)
            records.push_back(part.records.data() + i * recordBytes);
    }
    const std::size_t wanted = std::min(count, records.size());
    std::partial_sort(
            records.begin(), records.begin() + static_cast<std::ptrdiff_t>(wanted), records.end(),
            [](const char *a, const char *b) { return std::memcmp(a, b, recordBytes) > 0; });
    std::string out;
    out.reserve(wanted * recordBytes);
    for (std::size_t i = 0; i < wanted; ++i)
        out.append(records[i], recordBytes);
    return out;
}

void keepGreatestRecords(answer_part &part, std::size_t count)
{
    // Shorter parts are not worth sorting twice.
    if (part.records.size() > 2 * count * recordBytes)
        part.records = greatestRecords({part}, count);
}

} // namespace peridotwheel
