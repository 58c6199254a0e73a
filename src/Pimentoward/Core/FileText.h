#pragma once

#include "Pimentoward/Core/Reason.h"

#include <optional>
#include <string>

namespace pimentoward {

/// The whole text of a file; nothing and InvalidSetting in `reason` where it cannot be read.
std::optional<std::string> readFile(const std::string &path, Reason &reason);

} // namespace pimentoward
