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

/// Reads a program's settings from flags and PIMENTOWARD_* environment variables. A flag overrides
/// a variable, and a variable overrides the default.
class SettingsReader
{
public:
    /// Looks up one environment variable; returns nullopt if it is not set.
    using EnvironmentHook = std::function<std::optional<std::string>(const std::string &)>;
    /// Checks values against each other. Returns a sentence that says which values contradict
    /// each other, or nullopt.
    using CrossCheckHook = std::function<std::optional<std::string>(const ResolvedSettings &)>;

    SettingsReader(std::string program, std::string description, std::vector<SettingSpec> table);

    /// Replaces the environment of the process, for tests.
    SettingsReader &environment(EnvironmentHook hook);
    /// Adds a check for values that contradict each other.
    SettingsReader &crossCheck(CrossCheckHook hook);

    /// Reads and checks all settings. Fails with ResultCode::InvalidSetting and a sentence that
    /// names the setting, its value and the allowed values.
    std::optional<ResolvedSettings> read(int argc, const char *const *argv, Reason &reason) const;

    /// Reads the settings at the start of a program's main(). Handles --help, --version, --check
    /// and --print-settings, and prints errors to standard error. Returns the settings, or nullopt
    /// if the program must exit with `exitCode`.
    std::optional<ResolvedSettings> readOrExit(int argc, const char *const *argv,
                                               ExitCode &exitCode) const;

    /// Returns the text that --help prints.
    std::string help() const;
    /// Returns the name of a setting's environment variable, such as PIMENTOWARD_CALLER_LISTEN for
    /// "caller-listen".
    static std::string variableName(const std::string &settingName);
    /// Describes the values that a setting allows.
    static std::string allowedValues(const SettingSpec &spec);
    /// Checks one value. Returns a sentence that says what is wrong with it, or nullopt.
    static std::optional<std::string> checkValue(const SettingSpec &spec, const std::string &value);

private:
    std::string m_program;
    std::string m_description;
    std::vector<SettingSpec> m_table;
    EnvironmentHook m_environment;
    std::vector<CrossCheckHook> m_crossChecks;
};

} // namespace pimentoward
