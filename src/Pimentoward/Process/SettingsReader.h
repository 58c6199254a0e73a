#pragma once

#include "Pimentoward/Process/ResolvedSettings.h"
#include "Pimentoward/Process/SettingSpec.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Exit codes shared by all programs.
enum class ExitCode : int { Success = 0, Failure = 1, InvalidSettings = 2, CannotListen = 3 };

/// Reads a program's settings from flags and PIMENTOWARD_* variables; a flag goes before a
/// variable, a variable before the default.
class SettingsReader
{
public:
    /// Looks up one environment variable; nullopt where it is not set.
    using EnvironmentHook = std::function<std::optional<std::string>(const std::string &)>;
    /// Checks values against each other; returns a sentence on what contradicts, or nothing.
    using CrossCheckHook = std::function<std::optional<std::string>(const ResolvedSettings &)>;

    SettingsReader(std::string program, std::string description, std::vector<SettingSpec> table);

    /// Replaces the process environment, for tests.
    SettingsReader &environment(EnvironmentHook hook);
    /// Adds a check of contradictory pairs.
    SettingsReader &crossCheck(CrossCheckHook hook);

    /// Reads and checks all settings. Fails with ResultCode::InvalidSetting and a sentence that
    /// names the setting, the value and what is allowed.
    std::optional<ResolvedSettings> read(int argc, const char *const *argv, Reason &reason) const;

    /// What a program's main does first: handles --help, --version, --check and
    /// --print-settings, prints errors to standard error. Returns settings to go on with, or
    /// nothing, with the code to exit with in `exitCode`.
    std::optional<ResolvedSettings> readOrExit(int argc, const char *const *argv,
                                               ExitCode &exitCode) const;

    /// Text of --help.
    std::string help() const;
    /// Name of the variable of a setting: PIMENTOWARD_CALLER_LISTEN for "caller-listen".
    static std::string variableName(const std::string &settingName);
    /// Sentence on the values that a setting allows.
    static std::string allowedValues(const SettingSpec &spec);
    /// Checks one value; returns a sentence on what is wrong, or nothing.
    static std::optional<std::string> checkValue(const SettingSpec &spec, const std::string &value);

private:
    std::string m_program;
    std::string m_description;
    std::vector<SettingSpec> m_table;
    EnvironmentHook m_environment;
    std::vector<CrossCheckHook> m_crossChecks;
};

} // namespace pimentoward
