#include "apps/pimentoctl/Command.h"

#include "apps/pimentoctl/SettingsCommands.h"
#include "apps/pimentoctl/StateCommand.h"

#include <cstdlib>
#include <iostream>

namespace pimentoctl {

using namespace pimentoward;

namespace {

using Kind = SettingsChangeKind;

std::string userName()
{
    const char *name = std::getenv("USER");
    return name == nullptr ? "unknown" : name;
}

std::vector<CommandOption> changeOptions()
{
    return {{"reason", "Reason for the change; required for exceptions and domain-out.", ""},
            {"author", "Author of the change, shown in the history.", userName()},
            {"expected", "Revision that the change is based on; default: the current one.", ""},
            {"change-id",
             "Unique id of the change; reuse it to repeat a change whose outcome is unknown.", ""}};
}

/// Returns a command that sends one kind of change, built from its arguments.
Command changeCommand(const std::string &name, const std::string &help,
                      std::vector<std::string> arguments, Kind kind)
{
    const auto run = [kind](const OperatorClient &client, const CommandInput &input) {
        SettingsChange change;
        change.kind = kind;
        change.setting = input.value("SETTING");
        change.value = input.value("VALUE");
        change.target = input.value("TARGET");
        if (const std::string scope = input.value("SCOPE"); !scope.empty()) {
            const auto known = exceptionScopeFromName(scope);
            if (!known) {
                std::cerr << "pimentoctl: SCOPE must be 'service' or 'failure-domain', not '"
                          << scope << "'\n";
                return ToolExit::Usage;
            }
            change.scope = *known;
        }
        return sendChange(client, input, std::move(change));
    };
    return {name, help, std::move(arguments), changeOptions(), run};
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> all {
        {"settings show",
         "Shows the defaults and the exceptions with their reasons.",
         {},
         {},
         showSettings},
        changeCommand("settings set", "Sets the default of a setting.", {"SETTING", "VALUE"},
                      Kind::SetDefault),
        changeCommand("settings unset", "Restores the built-in default of a setting.", {"SETTING"},
                      Kind::UnsetDefault),
        changeCommand("settings except",
                      "Adds or replaces an exception for a service or failure domain.",
                      {"SCOPE", "TARGET", "SETTING", "VALUE"}, Kind::AddException),
        changeCommand("settings unexcept", "Removes an exception.", {"SCOPE", "TARGET", "SETTING"},
                      Kind::RemoveException),
        changeCommand("settings domain-out", "Takes a failure domain out of service.", {"TARGET"},
                      Kind::TakeDomainOut),
        changeCommand("settings domain-in", "Brings a failure domain back into service.",
                      {"TARGET"}, Kind::BringDomainBack),
        {"settings history",
         "Shows the latest changes.",
         {},
         {{"limit", "Maximum number of changes to show.", "20"}},
         showHistory},
        {"settings diff",
         "Shows what changed from one revision to another, or to the current one.",
         {"FROM", "TO?"},
         {},
         showDifference},
        {"settings watch",
         "Watches until a revision, or the newest, is in force on each VM.",
         {"REVISION?"},
         {{"for-ms", "Maximum time to watch, in milliseconds.", "10000"}},
         watchRevision},
        {"state",
         "Shows the state of all VMs, or of one VM.",
         {},
         {{"vm", "IP:PORT of the operator port of one VM; default: all of --vms.", ""}},
         showState},
    };
    return all;
}

} // namespace pimentoctl
