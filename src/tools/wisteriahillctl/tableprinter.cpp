#include "wisteriahillctl/tableprinter.h"

#include <algorithm>
#include <iomanip>

namespace WisteriaHill::Ctl {

void printTable(std::ostream& out, const std::vector<TableRow>& rows)
{
    std::vector<std::size_t> widths;
    for (const TableRow& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const TableRow& row : rows) {
        for (std::size_t column = 0; column + 1 < row.size(); ++column)
            out << std::left << std::setw(static_cast<int>(widths[column]) + 2) << row[column];
        out << (row.empty() ? "" : row.back()) << '\n';
    }
}

} // namespace WisteriaHill::Ctl
