#pragma once

#include "Pimentoward/Core/Reason.h"
#include "apps/pimentoctl/ToolExit.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace pimentoctl {

/// Rows of cells; the first row is the head.
using Table = std::vector<std::vector<std::string>>;

/// Prints aligned columns.
void printTable(const Table &table);
/// Prints indented JSON.
ToolExit printJson(const nlohmann::json &json);
/// Prints what went wrong to standard error; the exit code that stands for it.
ToolExit printFailure(const pimentoward::Reason &reason);

} // namespace pimentoctl
