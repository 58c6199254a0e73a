#pragma once

#include "Pimentoward/Process/SettingSpec.h"
#include "Pimentoward/Process/SettingsReader.h"

#include <vector>

namespace pimentoward {

/// The typed table of pimentod's settings: it makes the flags, the variables, the checks and the
/// pages.
const std::vector<SettingSpec> &daemonSettingsTable();

/// Reads pimentod's settings, with the checks of contradictory pairs.
SettingsReader daemonSettingsReader();

} // namespace pimentoward
