// pimentoctl: shows and changes the operators' settings and dumps the state of VMs.

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

int exitWith(ToolExit code)
{
    return static_cast<int>(code);
}

int usage(const std::string &what)
{
    std::cerr << "pimentoctl: " << what << "; see pimentoctl --help\n";
    return exitWith(ToolExit::Usage);
}

std::string usageLine(const Command &command)
{
    std::string line = command.name;
    for (const std::string &argument : command.arguments) {
        const bool mayMiss = argument.back() == '?';
        line += mayMiss ? " [" + argument.substr(0, argument.size() - 1) + "]" : " " + argument;
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
    std::cout << "\nOf all commands:\n"
                 "  --vms IP:PORT,...   Operator ports of the VMs (PIMENTOWARD_VMS; default "
              << defaultVms
              << ").\n  --timeout-ms N      Longest wait for one answer (default 15000).\n"
                 "  --json              Print JSON.\n"
                 "  --help, --version\n\n"
                 "Exit codes: 0 done, 1 refused, 2 wrong command line, 4 conflict (nothing "
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
        reason = {ResultCode::InvalidSetting, "it names no VM"};
        return std::nullopt;
    }
    return vms;
}

std::string vmsByDefault()
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
        cxxopts::value<std::string>()->default_value(vmsByDefault()));
    add("timeout-ms", "Longest wait for one answer, in milliseconds; allowed: 100 to 600000.",
        cxxopts::value<unsigned>()->default_value("15000"));
    add("json", "Print JSON.");
    add("help", "Print this help and exit.");
    return options;
}

/// Takes the positional arguments; a sentence on what is wrong, or nothing.
std::optional<std::string> takeArguments(const Command &command,
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
    constexpr unsigned shortestTimeout = 100;
    constexpr unsigned longestTimeout = 600'000;
    cxxopts::Options options = buildOptions(command);
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitWith(ToolExit::Success);
    }
    CommandInput input;
    input.asJson = parsed.count("json") > 0;
    for (const CommandOption &option : command.options) {
        input.values[option.name] = parsed[option.name].as<std::string>();
    }
    if (const auto wrong = takeArguments(command, parsed.unmatched(), input)) {
        return usage(*wrong);
    }
    Reason reason;
    const auto vms = parseVms(parsed["vms"].as<std::string>(), reason);
    if (!vms) {
        return usage("--vms has the value '" + parsed["vms"].as<std::string>()
                     + "': " + reason.text);
    }
    const auto timeout = parsed["timeout-ms"].as<unsigned>();
    if (timeout < shortestTimeout || timeout > longestTimeout) {
        return usage("--timeout-ms must be from 100 to 600000");
    }
    const OperatorClient client(*vms, std::chrono::milliseconds(timeout));
    return exitWith(command.run(client, input));
}

/// The command that the first words name, and how many words that takes.
const Command *findCommand(const std::vector<std::string> &words, int &taken)
{
    for (const Command &command : commands()) {
        const std::string two = words.size() > 1 ? words[0] + ' ' + words[1] : std::string();
        if (command.name == words[0] || command.name == two) {
            taken = command.name == words[0] ? 1 : 2;
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
        return exitWith(words.empty() ? ToolExit::Usage : ToolExit::Success);
    }
    if (words[0] == "--version") {
        std::cout << "pimentoctl " << projectVersion << '\n';
        return exitWith(ToolExit::Success);
    }
    int taken = 0;
    const Command *command = findCommand(words, taken);
    if (command == nullptr) {
        return usage("'" + words[0] + (words.size() > 1 ? " " + words[1] : "") + "' is no command");
    }
    try {
        return runCommand(*command, argc - taken, argv + taken);
    } catch (const cxxopts::exceptions::exception &error) {
        return usage(error.what());
    } catch (const nlohmann::json::exception &error) {
        std::cerr << "pimentoctl: the VM's answer cannot be read: " << error.what() << '\n';
        return exitWith(ToolExit::Failure);
    }
}
