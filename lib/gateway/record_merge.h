#ifndef PERIDOTWHEEL_LIB_GATEWAY_RECORD_MERGE_H
#define PERIDOTWHEEL_LIB_GATEWAY_RECORD_MERGE_H

#include "peridotwheel/gateway/wire_dialect.h"

#include <cstddef>
#include <string>
#include <vector>

namespace peridotwheel {

constexpr std::size_t recordBytes = 16;

/// Returns the greatest \p count records of all parts, greatest first, compared as unsigned bytes.
/// Equal records all count; trailing bytes that are shorter than a record are ignored.
std::string greatestRecords(const std::vector<answer_part> &parts, std::size_t count);

/// Frees the memory of a part that is much longer than its greatest \p count records, the only ones
/// that can be among the greatest of all parts.
void keepGreatestRecords(answer_part &part, std::size_t count);

} // namespace peridotwheel

#endif
