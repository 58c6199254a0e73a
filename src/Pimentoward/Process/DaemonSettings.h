#pragma once

#include "Pimentoward/Process/SettingSpec.h"
#include "Pimentoward/Process/SettingsReader.h"

#include <vector>

namespace pimentoward {

/// The table of pimentod's settings, which defines their flags, their environment variables, their
/// checks and their section in docs/SETTINGS.md.
const std::vector<SettingSpec> &daemonSettingsTable();

/// Returns a reader of pimentod's settings that also checks for values that contradict each other.
SettingsReader daemonSettingsReader();

} // namespace pimentoward
