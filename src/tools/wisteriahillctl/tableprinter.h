/// Tables for people.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace WisteriaHill::Ctl {

using TableLine = std::vector<std::string>;

/// Prints lines in columns as wide as their widest cell; the first line is the heading.
void printTable(std::ostream& out, const std::vector<TableLine>& lines);

} // namespace WisteriaHill::Ctl
