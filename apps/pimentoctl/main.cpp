// pimentoctl shows and changes the operators' settings and prints the state of VMs.

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Core/ProjectVersion.h"
#include "apps/pimentoctl/Command.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>

using namespace pimentoward;
using namespace pimentoctl;

namespace {

constexpr const char *defaultVms = "127.0.0.1:8081";

int exitStatus(ToolExit code)
{
    return static_cast<int>(code);
}

/// Prints an error in the command line. Returns the exit status of the program.
int usageError(const std::string &message)
{
    std::cerr << "pimentoctl: " << message << "; see pimentoctl --help\n";
    return exitStatus(ToolExit::Usage);
}

/// The command and its positional arguments, with optional ones in brackets.
std::string usageLine(const Command &command)
{
    std::string line = command.name;
    for (const std::string &argument : command.arguments) {
        const bool isOptional = argument.back() == '?';
        line += isOptional ? " [" + argument.substr(0, argument.size() - 1) + "]" : " " + argument;
    }
    return line;
}

void printHelp()
{
    std::cout << "pimentoctl shows and changes the operators' settings of pimentoward.\n\n"
                 "Usage: pimentoctl COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
    constexpr std::size_t column = 52;
    for (const Command &command : commands()) {
        std::string line = "  " + usageLine(command);
        line += line.size() < column ? std::string(column - line.size(), ' ') : " ";
        std::cout << line << command.help << '\n';
    }
    std::cout << "\nOptions of all commands:\n"
                 "  --vms IP:PORT,...   Operator ports of the VMs (PIMENTOWARD_VMS; default "
              << defaultVms
              << ").\n  --timeout-ms N      Maximum time to wait for one answer (default 15000).\n"
                 "  --json              Print JSON.\n"
                 "  --help, --version\n\n"
                 "Exit codes: 0 done, 1 refused, 2 invalid command line, 4 conflict (nothing "
                 "changed),\n5 unsure whether the change took effect, 6 store down (nothing "
                 "changed),\n7 no VM reached, 8 committed but not in force everywhere.\n";
}

std::optional<std::vector<Address>> parseVms(const std::string &text, Reason &reason)
{
    std::vector<Address> vms;
    std::istringstream list(text);
    for (std::string item; std::getline(list, item, ',');) {
        const auto address = Address::parse(item, reason);
        if (!address) {
            return std::nullopt;
        }
        vms.push_back(*address);
    }
    if (vms.empty()) {
        reason = {ResultCode::InvalidSetting, "expected at least one address"};
        return std::nullopt;
    }
    return vms;
}

/// The VMs to use if the command line names none.
std::string defaultVmList()
{
    const char *variable = std::getenv("PIMENTOWARD_VMS");
    return variable == nullptr ? defaultVms : variable;
}

cxxopts::Options buildOptions(const Command &command)
{
    cxxopts::Options options("pimentoctl " + command.name, command.help);
    options.custom_help(usageLine(command).substr(command.name.size()) + " [OPTIONS]");
    auto add = options.add_options();
    for (const CommandOption &option : command.options) {
        add(option.name, option.help,
            cxxopts::value<std::string>()->default_value(option.defaultText));
    }
    add("vms", "Operator ports of the VMs (PIMENTOWARD_VMS).",
        cxxopts::value<std::string>()->default_value(defaultVmList()));
    add("timeout-ms", "Maximum time to wait for one answer, in ms; allowed: 100 to 600000.",
        cxxopts::value<unsigned>()->default_value("15000"));
    add("json", "Print JSON.");
    add("help", "Print this help and exit.");
    return options;
}

/// Copies the positional arguments into `input`. Returns an error message if there are too many or
/// too few.
std::optional<std::string> readArguments(const Command &command,
                                         const std::vector<std::string> &given, CommandInput &input)
{
    if (given.size() > command.arguments.size()) {
        return "'" + given.back() + "' is one argument too many for '" + usageLine(command) + "'";
    }
    for (std::size_t index = 0; index < command.arguments.size(); ++index) {
        const std::string &name = command.arguments[index];
        if (index < given.size()) {
            input.values[name] = given[index];
        } else if (name.back() != '?') {
            return name + " is missing in '" + usageLine(command) + "'";
        }
    }
    return std::nullopt;
}

int runCommand(const Command &command, int argc, const char *const *argv)
{
    constexpr unsigned minTimeout = 100;
    constexpr unsigned maxTimeout = 600'000;
    cxxopts::Options options = buildOptions(command);
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitStatus(ToolExit::Success);
    }
    CommandInput input;
    input.asJson = parsed.count("json") > 0;
    for (const CommandOption &option : command.options) {
        input.values[option.name] = parsed[option.name].as<std::string>();
    }
    if (const auto error = readArguments(command, parsed.unmatched(), input)) {
        return usageError(*error);
    }
    Reason reason;
    const auto vms = parseVms(parsed["vms"].as<std::string>(), reason);
    if (!vms) {
        return usageError("--vms has the value '" + parsed["vms"].as<std::string>()
                          + "': " + reason.text);
    }
    const auto timeout = parsed["timeout-ms"].as<unsigned>();
    if (timeout < minTimeout || timeout > maxTimeout) {
        return usageError("--timeout-ms must be from 100 to 600000");
    }
    const OperatorClient client(*vms, std::chrono::milliseconds(timeout));
    return exitStatus(command.run(client, input));
}

/// Finds the command that the first words name, and sets `wordCount` to the number of words in its
/// name. Returns null if there is no such command.
const Command *findCommand(const std::vector<std::string> &words, int &wordCount)
{
    for (const Command &command : commands()) {
        const std::string two = words.size() > 1 ? words[0] + ' ' + words[1] : std::string();
        if (command.name == words[0] || command.name == two) {
            wordCount = command.name == words[0] ? 1 : 2;
            return &command;
        }
    }
    return nullptr;
}

} // namespace

int main(int argc, char **argv)
{
    Log::start("OFF");
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty() || words[0] == "--help") {
        printHelp();
        return exitStatus(words.empty() ? ToolExit::Usage : ToolExit::Success);
    }
    if (words[0] == "--version") {
        std::cout << "pimentoctl " << projectVersion << '\n';
        return exitStatus(ToolExit::Success);
    }
    int wordCount = 0;
    const Command *command = findCommand(words, wordCount);
    if (command == nullptr) {
        return usageError("'" + words[0] + (words.size() > 1 ? " " + words[1] : "")
                          + "' is not a command");
    }
    try {
        return runCommand(*command, argc - wordCount, argv + wordCount);
    } catch (const cxxopts::exceptions::exception &error) {
        return usageError(error.what());
    } catch (const nlohmann::json::exception &error) {
        std::cerr << "pimentoctl: the VM's answer cannot be read: " << error.what() << '\n';
        return exitStatus(ToolExit::Failure);
    }
}
