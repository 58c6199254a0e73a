#pragma once

#include "Pimentoward/Core/Reason.h"

#include <optional>
#include <string>

namespace pimentoward {

/// Returns the whole content of a file. If it cannot be read, returns nothing and sets `reason` to
/// InvalidSetting.
std::optional<std::string> readFile(const std::string &path, Reason &reason);

} // namespace pimentoward
