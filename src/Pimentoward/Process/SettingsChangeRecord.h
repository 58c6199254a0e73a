#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Process/SettingsDifference.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace pimentoward {

/// What one change did: a row of the history.
struct SettingsChangeRecord
{
    /// The revision that the change made.
    Revision revision = 0;
    std::string changeId;
    /// Who made the change, as the operator said.
    std::string author;
    /// Civil time at the VM that made the change.
    WallTime at {};
    std::string reason;
    std::vector<SettingsDifference> differences;

    /// The JSON form that fromJson() reads.
    nlohmann::json toJson() const;
    /// Reads one record; throws nlohmann::json::exception where a field is missing or wrong.
    static SettingsChangeRecord fromJson(const nlohmann::json &json);
};

/// The JSON form of one difference; absent values are null.
nlohmann::json differenceToJson(const SettingsDifference &difference);

} // namespace pimentoward
