#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Process/SettingsDifference.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace pimentoward {

/// What one change did to the settings; one entry of the settings history.
struct SettingsChangeRecord
{
    /// The revision that the change created.
    Revision revision = 0;
    std::string changeId;
    /// Author of the change, as given by the operator's tool.
    std::string author;
    /// Wall-clock time at which the change was requested, by the clock of the VM that committed it.
    WallTime at {};
    std::string reason;
    std::vector<SettingsDifference> differences;

    /// Returns the JSON form that fromJson() reads.
    nlohmann::json toJson() const;
    /// Reads one record. Throws nlohmann::json::exception if a field is missing or has the wrong
    /// type.
    static SettingsChangeRecord fromJson(const nlohmann::json &json);
};

/// Returns the JSON form of one difference; a value that is not set becomes null.
nlohmann::json differenceToJson(const SettingsDifference &difference);

} // namespace pimentoward
