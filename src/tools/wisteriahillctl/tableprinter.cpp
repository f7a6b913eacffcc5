#include "wisteriahillctl/tableprinter.h"

#include <algorithm>
#include <iomanip>

namespace WisteriaHill::Ctl {

void printTable(std::ostream& out, const std::vector<TableLine>& lines)
{
    std::vector<std::size_t> widths;
    for (const TableLine& line : lines) {
        widths.resize(std::max(widths.size(), line.size()));
        for (std::size_t column = 0; column < line.size(); ++column)
            widths[column] = std::max(widths[column], line[column].size());
    }
    for (const TableLine& line : lines) {
        for (std::size_t column = 0; column + 1 < line.size(); ++column)
            out << std::left << std::setw(static_cast<int>(widths[column]) + 2) << line[column];
        out << (line.empty() ? "" : line.back()) << '\n';
    }
}

} // namespace WisteriaHill::Ctl
