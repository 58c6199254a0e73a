#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Rollout/RolloutRecords.h"

#include <optional>
#include <string>

namespace pimentoward {

/// Encodes a VM's report on a roll-out as the value of its key in the store.
std::string encodeRolloutReport(const RolloutReport &report);
/// Reads such a value. Returns nothing, with a reason, if it is invalid.
std::optional<RolloutReport> decodeRolloutReport(const std::string &text, Reason &reason);

} // namespace pimentoward
