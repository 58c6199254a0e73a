#pragma once

#include "Pimentoward/Process/ResolvedSettings.h"
#include "Pimentoward/Process/SettingSpec.h"
#include "standins/Deployment.h"
#include "standins/LoadPlan.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// The settings of pimento-load: the table, its checks, and the typed values made of it.
class LoadSettings
{
public:
    static std::vector<SettingSpec> table();
    /// A sentence on settings that contradict each other, or nothing.
    static std::optional<std::string> crossCheck(const ResolvedSettings &settings);

    /// Reads "127.0.0.1:8080,127.0.0.2:8080"; fails with InvalidSetting.
    static std::optional<std::vector<Address>> addresses(const std::string &text, Reason &reason);
    /// One load for each chosen service, the rate shared equally; fails with InvalidSetting where a
    /// service is not in the deployment.
    static std::optional<std::vector<standins::LoadPlan::Settings>>
    loads(const ResolvedSettings &settings, const standins::Deployment &deployment, Reason &reason);
};

} // namespace pimentoward
