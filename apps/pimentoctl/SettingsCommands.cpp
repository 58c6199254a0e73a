#include "apps/pimentoctl/SettingsCommands.h"

#include "apps/pimentoctl/Output.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace pimentoctl {

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

/// Time between two polls of the VMs.
constexpr std::chrono::milliseconds watchPeriod {100};

/// Returns a random ID of 128 bits, as hexadecimal digits.
std::string newChangeId()
{
    std::random_device random;
    constexpr int words = 4;
    constexpr int digits = 8; // hexadecimal digits of one 32-bit word
    std::ostringstream text;
    text << std::hex << std::setfill('0');
    for (int word = 0; word < words; ++word) {
        text << std::setw(digits) << random();
    }
    return text.str();
}

/// Parses a number. Returns nothing if the text holds anything else.
std::optional<Revision> parseNumber(const std::string &text)
{
    Revision value = 0;
    const auto [last, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = error == std::errc() && last == text.data() + text.size();
    return isNumber ? std::optional(value) : std::nullopt;
}

ToolExit reportInvalidNumber(const std::string &name, const std::string &text)
{
    std::cerr << "pimentoctl: '" << name << "' has the value '" << text
              << "'; allowed: a whole number\n";
    return ToolExit::Usage;
}

/// The revision that a change is based on: the one given by --expected, otherwise the current one.
std::optional<Revision> expectedRevision(const OperatorClient &client, const CommandInput &input,
                                         Reason &reason)
{
    if (const std::string given = input.value("expected"); !given.empty()) {
        return parseNumber(given);
    }
    const auto settings = client.callFirstReachable({"GET", "/settings", {}, {}, {}}, reason);
    return settings ? std::optional(settings->value("revision", Revision {0})) : std::nullopt;
}

std::string timeText(std::int64_t milliseconds)
{
    constexpr std::int64_t perSecond = 1000;
    const auto seconds = static_cast<std::time_t>(milliseconds / perSecond);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

/// One VM on which a revision is to come into force.
struct WatchedVm
{
    Address address;
    std::string id;
    /// Revision in force at the last poll; empty if the poll failed.
    std::optional<Revision> revision;
    /// Why the last poll failed.
    std::string problem;
    /// True once the awaited revision is in force.
    bool isDone = false;
};

/// Reads the revision that is in force on a VM.
void pollVm(const OperatorClient &client, WatchedVm &vm)
{
    Reason reason;
    const auto state = client.state(vm.address, reason);
    vm.revision.reset();
    vm.problem = reason.text;
    if (state) {
        vm.id = state->value("self", std::string());
        vm.revision = state->value("settingsRevision", Revision {0});
    }
}

/// Prints the VMs on which the target revision is not in force. Returns the exit code of the watch.
ToolExit reportWatchResult(const std::vector<WatchedVm> &vms, Revision target)
{
    bool reachedAny = false;
    bool allDone = true;
    for (const WatchedVm &vm : vms) {
        reachedAny = reachedAny || vm.revision;
        allDone = allDone && vm.isDone;
        if (!vm.isDone) {
            std::cout << vm.address.toString() << ' ' << vm.id << " not at revision " << target
                      << ": "
                      << (vm.revision ? "at revision " + std::to_string(*vm.revision) : vm.problem)
                      << '\n';
        }
    }
    if (allDone) {
        return ToolExit::Success;
    }
    return reachedAny ? ToolExit::NotInForce : ToolExit::Unreachable;
}

} // namespace

ToolExit showSettings(const OperatorClient &client, const CommandInput &input)
{
    Reason reason;
    const auto settings = client.callFirstReachable({"GET", "/settings", {}, {}, {}}, reason);
    if (!settings) {
        return printFailure(reason);
    }
    if (input.asJson) {
        return printJson(*settings);
    }
    std::cout << "Revision " << settings->value("revision", Revision {0}) << "\n\n";
    Table defaults {{"SETTING", "VALUE", "FROM", "ALLOWED"}};
    Table exceptions {{"SCOPE", "TARGET", "SETTING", "VALUE", "REASON"}};
    for (const Json &row : settings->at("effective")) {
        const std::string setting = row.at("setting");
        defaults.push_back({setting, row.at("value"), row.at("origin"), row.at("allowed")});
        for (const Json &exception : row.at("exceptions")) {
            exceptions.push_back({exception.at("scope"), exception.at("target"), setting,
                                  exception.at("value"), exception.at("reason")});
        }
    }
    printTable(defaults);
    std::cout << "\nExceptions: " << exceptions.size() - 1 << " of "
              << SettingsDocument::maxExceptions << '\n';
    if (exceptions.size() > 1) {
        printTable(exceptions);
    }
    return ToolExit::Success;
}

ToolExit showHistory(const OperatorClient &client, const CommandInput &input)
{
    Reason reason;
    const std::string target = "/settings/history?limit=" + input.value("limit");
    const auto history = client.callFirstReachable({"GET", target, {}, {}, {}}, reason);
    if (!history) {
        return printFailure(reason);
    }
    if (input.asJson) {
        return printJson(*history);
    }
    Table table {{"REVISION", "WHEN", "WHO", "CHANGE ID", "WHAT", "REASON"}};
    for (const Json &json : history->at("records")) {
        const auto record = SettingsChangeRecord::fromJson(json);
        std::string changesText;
        for (SettingsDifference difference : record.differences) {
            difference.reason.clear(); // the reason has its own column
            changesText += (changesText.empty() ? "" : "; ") + difference.toText();
        }
        table.push_back({std::to_string(record.revision), timeText(json.at("atMs")), record.author,
                         record.changeId, changesText, record.reason});
    }
    printTable(table);
    return ToolExit::Success;
}

ToolExit showDifference(const OperatorClient &client, const CommandInput &input)
{
    Reason reason;
    const std::string to = input.value("TO?");
    const std::string target
        = "/settings/diff?from=" + input.value("FROM") + (to.empty() ? to : "&to=" + to);
    const auto body = client.callFirstReachable({"GET", target, {}, {}, {}}, reason);
    if (!body) {
        return printFailure(reason);
    }
    if (input.asJson) {
        return printJson(*body);
    }
    for (const Json &difference : body->at("differences")) {
        std::cout << difference.at("text").get<std::string>() << '\n';
    }
    return ToolExit::Success;
}

ToolExit sendChange(const OperatorClient &client, const CommandInput &input, SettingsChange change)
{
    if (const std::string given = input.value("expected"); !given.empty() && !parseNumber(given)) {
        return reportInvalidNumber("--expected", given);
    }
    Reason reason;
    const auto expected = expectedRevision(client, input, reason);
    if (!expected) {
        return printFailure(reason);
    }
    change.expectedRevision = *expected;
    change.author = input.value("author");
    change.reason = input.value("reason");
    change.changeId = input.value("change-id").empty() ? newChangeId() : input.value("change-id");
    const auto answer
        = client.callFirstReachable({"POST", "/settings", {}, change.toJson(), {}}, reason);
    if (answer) {
        std::cout << "Accepted: revision " << answer->value("revision", Revision {0}) << ", "
                  << answer->value("reason", std::string()) << ".\n";
        return ToolExit::Success;
    }
    const ToolExit code = printFailure(reason);
    if (code == ToolExit::OutcomeUnknown) {
        std::cerr << "To find out, repeat the command with --change-id " << change.changeId
                  << " --expected " << change.expectedRevision
                  << "; it takes effect at most once.\n";
    }
    return code;
}

ToolExit watchRevision(const OperatorClient &client, const CommandInput &input)
{
    const auto limit = parseNumber(input.value("for-ms"));
    if (!limit) {
        return reportInvalidNumber("--for-ms", input.value("for-ms"));
    }
    std::vector<WatchedVm> vms;
    Revision target = 0;
    for (const Address &address : client.vms()) {
        vms.push_back({address, {}, {}, {}, false});
        pollVm(client, vms.back());
        target = std::max(target, vms.back().revision.value_or(0));
    }
    if (const std::string given = input.value("REVISION?"); !given.empty()) {
        const auto requested = parseNumber(given);
        if (!requested) {
            return reportInvalidNumber("REVISION", given);
        }
        target = *requested;
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto end = begin + std::chrono::milliseconds(*limit);
    while (true) {
        bool allDone = true;
        for (WatchedVm &vm : vms) {
            if (!vm.isDone && vm.revision && *vm.revision >= target) {
                vm.isDone = true;
                const std::chrono::duration<double> passed
                    = std::chrono::steady_clock::now() - begin;
                std::cout << std::fixed << std::setprecision(1) << vm.address.toString() << ' '
                          << vm.id << " at revision " << *vm.revision << " after " << passed.count()
                          << " s" << std::endl;
            }
            allDone = allDone && vm.isDone;
        }
        if (allDone || std::chrono::steady_clock::now() >= end) {
            return reportWatchResult(vms, target);
        }
        std::this_thread::sleep_for(watchPeriod);
        for (WatchedVm &vm : vms) {
            if (!vm.isDone) {
                pollVm(client, vm);
            }
        }
    }
}

} // namespace pimentoctl
