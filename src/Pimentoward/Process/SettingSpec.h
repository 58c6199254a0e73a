#pragma once

#include <string>

namespace pimentoward {

/// What kind of value a setting takes.
enum class SettingKind { Text, Integer, Real, Milliseconds, AddressValue, Choice, Flag };

/// One row of a program's settings table: it makes the flag, the environment variable, the check
/// at start and the help text.
struct SettingSpec
{
    /// Name of the flag without dashes, such as "caller-listen".
    std::string name;
    SettingKind kind = SettingKind::Text;
    /// The value in force where none is given; empty means "required" unless `optional` is set.
    std::string defaultText;
    /// One sentence for --help and the pages.
    std::string help;
    /// Lowest and maximum value of Integer, Real and Milliseconds.
    double minimum = 0;
    double maximum = 0;
    /// Comma-separated values of Choice.
    std::string choices;
    /// True where an empty value is allowed.
    bool optional = false;
};

} // namespace pimentoward
