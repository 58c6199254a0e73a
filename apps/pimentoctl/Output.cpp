#include "apps/pimentoctl/Output.h"

#include <algorithm>
#include <iostream>

namespace pimentoctl {

void printTable(const Table &table)
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(table.front().size(), 0);
    for (const auto &row : table) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto &row : table) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool isLast = column + 1 == row.size();
            const std::size_t padding = isLast ? 0 : widths[column] - row[column].size() + gap;
            line += row[column] + std::string(padding, ' ');
        }
        std::cout << line << '\n';
    }
}

ToolExit printJson(const nlohmann::json &json)
{
    constexpr int indent = 2;
    std::cout << json.dump(indent) << '\n';
    return ToolExit::Success;
}

ToolExit printFailure(const pimentoward::Reason &reason)
{
    const auto &info = pimentoward::resultCodeInfo(reason.code);
    std::cerr << "pimentoctl: " << info.name << " (" << static_cast<int>(reason.code)
              << "): " << (reason.text.empty() ? std::string(info.meaning) : reason.text) << '\n';
    return toolExit(reason.code);
}

} // namespace pimentoctl
