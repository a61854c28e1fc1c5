#ifndef PERIDOTWHEEL_CTL_TEXT_TABLE_H
#define PERIDOTWHEEL_CTL_TEXT_TABLE_H

#include <string>
#include <vector>

namespace peridotwheel {

/// Renders rows in aligned columns, the first row as heading.
std::string renderTable(const std::vector<std::vector<std::string>> &rows);

} // namespace peridotwheel

#endif
