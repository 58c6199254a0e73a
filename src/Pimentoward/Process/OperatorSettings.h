#pragma once

#include "Pimentoward/Process/SettingSpec.h"

#include <string>
#include <vector>

namespace pimentoward {

/// Names of the settings that operators can change while the tier runs.
namespace operator_settings {

inline constexpr const char *queryDeadline = "query-deadline-ms";
inline constexpr const char *answerMargin = "answer-margin-ms";
inline constexpr const char *partialAnswer = "partial-answer";
inline constexpr const char *coverageTarget = "coverage-target-percent";
inline constexpr const char *hedgeBudget = "hedge-budget-percent";
inline constexpr const char *hedgeQuantile = "hedge-quantile-percent";
inline constexpr const char *retryBudget = "retry-budget-percent";
inline constexpr const char *ownerQueueLimit = "owner-queue-limit";
inline constexpr const char *entryQueueLimit = "entry-queue-limit";
inline constexpr const char *coldLimit = "cold-limit";
inline constexpr const char *coldFactor = "cold-service-time-factor";
inline constexpr const char *outOfService = "out-of-service";

/// The values of `partialAnswer`.
inline constexpr const char *timeFirstMode = "time-first";
inline constexpr const char *coverageFirstMode = "coverage-first";

} // namespace operator_settings

/// The table of the operators' settings, which defines their checks, their defaults and their
/// section in docs/SETTINGS.md.
const std::vector<SettingSpec> &operatorSettingsTable();

/// Returns the table row of a setting, or nullptr if there is no setting with this name.
const SettingSpec *findOperatorSetting(const std::string &name);

} // namespace pimentoward
