#pragma once

#include <string>

namespace pimentoward {

/// Type of a setting's value.
enum class SettingKind { Text, Integer, Real, Milliseconds, AddressValue, Choice, Flag };

/// One row of a settings table. For a program's settings it defines the flag, the environment
/// variable, the check at start and the help text; for operators' settings, the check of a change
/// and the default.
struct SettingSpec
{
    /// Name of the flag without its leading dashes, such as "caller-listen".
    std::string name;
    SettingKind kind = SettingKind::Text;
    /// The value in force if none is given. Empty means that the setting is required, unless
    /// `optional` is set.
    std::string defaultText;
    /// One sentence for --help and docs/SETTINGS.md.
    std::string help;
    /// Minimum and maximum value of an Integer, Real or Milliseconds setting.
    double minimum = 0;
    double maximum = 0;
    /// Comma-separated values of a Choice setting.
    std::string choices;
    /// True if an empty value is allowed.
    bool optional = false;
};

} // namespace pimentoward
