#include "Pimentoward/Process/SettingsReader.h"

#include "Pimentoward/Core/ProjectVersion.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace pimentoward {

namespace {

constexpr const char *helpFlag = "help";
constexpr const char *versionFlag = "version";
constexpr const char *checkFlag = "check";
constexpr const char *printFlag = "print-settings";

std::optional<std::string> processEnvironment(const std::string &name)
{
    if (const char *value = std::getenv(name.c_str())) {
        return std::string(value);
    }
    return std::nullopt;
}

bool isNumberKind(SettingKind kind)
{
    return kind == SettingKind::Integer || kind == SettingKind::Real
        || kind == SettingKind::Milliseconds;
}

std::string numberText(double value)
{
    constexpr int digits = 12; // enough to print every bound without an exponent
    std::ostringstream text;
    text << std::setprecision(digits) << value;
    return text.str();
}

bool isChoice(const std::string &choices, const std::string &value)
{
    std::istringstream list(choices);
    for (std::string choice; std::getline(list, choice, ',');) {
        if (choice == value) {
            return true;
        }
    }
    return false;
}

bool isNumberInRange(const SettingSpec &spec, const std::string &value)
{
    double number = 0;
    const char *end = value.data() + value.size();
    if (spec.kind == SettingKind::Real) {
        const auto [last, error] = std::from_chars(value.data(), end, number);
        if (error != std::errc() || last != end) {
            return false;
        }
    } else {
        std::int64_t integer = 0;
        const auto [last, error] = std::from_chars(value.data(), end, integer);
        if (error != std::errc() || last != end) {
            return false;
        }
        number = static_cast<double>(integer);
    }
    return number >= spec.minimum && number <= spec.maximum;
}

cxxopts::Options buildOptions(const std::string &program, const std::string &description,
                              const std::vector<SettingSpec> &table)
{
    cxxopts::Options options(program, description);
    auto add = options.add_options();
    for (const SettingSpec &spec : table) {
        std::string text = spec.help + " Allowed: " + SettingsReader::allowedValues(spec) + ". "
            + (spec.defaultText.empty() ? "" : "Default: " + spec.defaultText + ". ")
            + "Variable: " + SettingsReader::variableName(spec.name) + ".";
        if (spec.kind == SettingKind::Flag) {
            add(spec.name, text, cxxopts::value<std::string>()->implicit_value("true"));
        } else {
            add(spec.name, text, cxxopts::value<std::string>());
        }
    }
    add(helpFlag, "Print this help and exit.");
    add(versionFlag, "Print the version and exit.");
    add(checkFlag, "Check the settings and exit.");
    add(printFlag, "Print each setting's value and where it came from, and exit.");
    return options;
}

} // namespace

SettingsReader::SettingsReader(std::string program, std::string description,
                               std::vector<SettingSpec> table)
    : m_program(std::move(program))
    , m_description(std::move(description))
    , m_table(std::move(table))
    , m_environment(processEnvironment)
{ }

SettingsReader &SettingsReader::environment(EnvironmentHook hook)
{
    m_environment = std::move(hook);
    return *this;
}

SettingsReader &SettingsReader::crossCheck(CrossCheckHook hook)
{
    m_crossChecks.push_back(std::move(hook));
    return *this;
}

std::string SettingsReader::variableName(const std::string &settingName)
{
    std::string name = "PIMENTOWARD_";
    for (const char letter : settingName) {
        name += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
    }
    return name;
}

std::string SettingsReader::allowedValues(const SettingSpec &spec)
{
    switch (spec.kind) {
    case SettingKind::Integer:
    case SettingKind::Real:
        return numberText(spec.minimum) + " to " + numberText(spec.maximum);
    case SettingKind::Milliseconds:
        return numberText(spec.minimum) + " to " + numberText(spec.maximum) + " milliseconds";
    case SettingKind::AddressValue:
        return "IP:PORT, with an IPv4 address and a port from 1 to 65535";
    case SettingKind::Choice:
        return "one of " + spec.choices;
    case SettingKind::Flag:
        return "true or false";
    case SettingKind::Text:
        break;
    }
    return spec.optional ? "any text, or empty" : "any text that is not empty";
}

std::optional<std::string> SettingsReader::checkValue(const SettingSpec &spec,
                                                      const std::string &value)
{
    const auto refuse = [&](const std::string &why) {
        return "setting '" + spec.name + "' has the value '" + value + "': " + why
            + "; allowed: " + allowedValues(spec);
    };
    if (value.empty()) {
        return spec.optional ? std::nullopt : std::optional(refuse("it is required"));
    }
    if (isNumberKind(spec.kind) && !isNumberInRange(spec, value)) {
        return refuse("it is not a number in the allowed range");
    }
    if (spec.kind == SettingKind::Choice && !isChoice(spec.choices, value)) {
        return refuse("it is not one of the choices");
    }
    if (spec.kind == SettingKind::Flag && value != "true" && value != "false") {
        return refuse("it is neither true nor false");
    }
    if (Reason reason; spec.kind == SettingKind::AddressValue && !Address::parse(value, reason)) {
        return refuse(reason.text);
    }
    return std::nullopt;
}

std::optional<ResolvedSettings> SettingsReader::read(int argc, const char *const *argv,
                                                     Reason &reason) const
{
    const auto refuse = [&](const std::string &why) -> std::optional<ResolvedSettings> {
        reason = {ResultCode::InvalidSetting, why};
        return std::nullopt;
    };
    std::map<std::string, ResolvedSettings::Entry> entries;
    try {
        cxxopts::Options options = buildOptions(m_program, m_description, m_table);
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (!parsed.unmatched().empty()) {
            return refuse("'" + parsed.unmatched().front() + "' is not a setting; see --help");
        }
        for (const SettingSpec &spec : m_table) {
            ResolvedSettings::Entry entry {spec.defaultText, ResolvedSettings::Origin::Default};
            if (const auto value = m_environment(variableName(spec.name))) {
                entry = {*value, ResolvedSettings::Origin::Environment};
            }
            if (parsed.count(spec.name) > 0) {
                entry = {parsed[spec.name].as<std::string>(), ResolvedSettings::Origin::Flag};
            }
            if (const auto problem = checkValue(spec, entry.text)) {
                return refuse(*problem);
            }
            entries[spec.name] = entry;
        }
    } catch (const cxxopts::exceptions::exception &error) {
        return refuse(std::string(error.what()) + "; see --help");
    }
    ResolvedSettings settings(std::move(entries));
    for (const CrossCheckHook &check : m_crossChecks) {
        if (const auto problem = check(settings)) {
            return refuse(*problem);
        }
    }
    return settings;
}

std::optional<ResolvedSettings> SettingsReader::readOrExit(int argc, const char *const *argv,
                                                           ExitCode &exitCode) const
{
    exitCode = ExitCode::Success;
    // --help and --version are handled before any check, so that they work without the required
    // settings.
    const auto hasFlag = [&](const std::string &flag) {
        return std::any_of(argv + 1, argv + argc,
                           [&](const char *argument) { return "--" + flag == argument; });
    };
    if (hasFlag(helpFlag)) {
        std::cout << help();
        return std::nullopt;
    }
    if (hasFlag(versionFlag)) {
        std::cout << m_program << ' ' << projectVersion << '\n';
        return std::nullopt;
    }
    Reason reason;
    auto settings = read(argc, argv, reason);
    if (!settings) {
        std::cerr << m_program << ": " << reason.text << '\n';
        exitCode = ExitCode::InvalidSettings;
        return std::nullopt;
    }
    if (hasFlag(printFlag)) {
        std::cout << settings->describe();
        return std::nullopt;
    }
    if (hasFlag(checkFlag)) {
        std::cout << m_program << ": the settings are valid\n";
        return std::nullopt;
    }
    return settings;
}

std::string SettingsReader::help() const
{
    return buildOptions(m_program, m_description, m_table).help();
}

} // namespace pimentoward
