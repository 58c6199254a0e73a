#pragma once

#include "Pimentoward/Process/ResolvedSettings.h"
#include "Pimentoward/Process/SettingSpec.h"
#include "standins/Deployment.h"
#include "standins/LoadPlan.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// The settings of pimento-load: the settings table, the checks of the values, and their conversion
/// into typed values.
class LoadSettings
{
public:
    /// The settings that pimento-load accepts.
    static std::vector<SettingSpec> table();
    /// Checks the values against each other. Returns an error message, or nothing if they are
    /// valid.
    static std::optional<std::string> crossCheck(const ResolvedSettings &settings);

    /// Parses a list such as "127.0.0.1:8080,127.0.0.2:8080". Fails with InvalidSetting.
    static std::optional<std::vector<Address>> addresses(const std::string &text, Reason &reason);
    /// Returns one load for each selected service; the rate is divided equally between them. Fails
    /// with InvalidSetting if a service is not in the deployment.
    static std::optional<std::vector<standins::LoadPlan::Settings>>
    loads(const ResolvedSettings &settings, const standins::Deployment &deployment, Reason &reason);
};

} // namespace pimentoward
