/// Prints tables of text.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace WisteriaHill::Ctl {

using TableRow = std::vector<std::string>;

/// Prints rows in columns as wide as their widest cell; the first row is the heading.
void printTable(std::ostream& out, const std::vector<TableRow>& rows);

} // namespace WisteriaHill::Ctl
