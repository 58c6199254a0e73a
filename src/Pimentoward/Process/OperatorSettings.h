#pragma once

#include "Pimentoward/Process/SettingSpec.h"

#include <string>
#include <vector>

namespace pimentoward {

/// Names of the settings that operators change while the tier runs.
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

inline constexpr const char *timeFirstMode = "time-first";
inline constexpr const char *coverageFirstMode = "coverage-first";

} // namespace operator_settings

/// The typed table of operators' settings: it makes the checks, the defaults and the pages.
const std::vector<SettingSpec> &operatorSettingsTable();

/// The row of a setting, or nullptr where there is none of that name.
const SettingSpec *findOperatorSetting(const std::string &name);

} // namespace pimentoward
