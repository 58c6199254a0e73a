#pragma once

#include "Pimentoward/Core/Reason.h"
#include "apps/pimentoctl/ToolExit.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace pimentoctl {

/// Rows of cells. The first row holds the column titles.
using Table = std::vector<std::vector<std::string>>;

/// Prints a table with aligned columns.
void printTable(const Table &table);
/// Prints indented JSON. Returns ToolExit::Success.
ToolExit printJson(const nlohmann::json &json);
/// Prints an error to standard error. Returns the exit code that corresponds to it.
ToolExit printFailure(const pimentoward::Reason &reason);

} // namespace pimentoctl
