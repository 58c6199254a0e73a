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
    return {{"reason", "Why the change is made; required for exceptions and domain-out.", ""},
            {"author", "Who makes the change, for the history.", userName()},
            {"expected", "Revision that you saw; default: the one in force now.", ""},
            {"change-id", "Unique id of the change, to repeat an unsure one.", ""}};
}

/// A command that makes one kind of change from its arguments.
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
                std::cerr << "pimentoctl: SCOPE is 'service' or 'failure-domain', not '" << scope
                          << "'\n";
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
         "Shows the defaults, the exceptions and their reasons.",
         {},
         {},
         showSettings},
        changeCommand("settings set", "Sets a default.", {"SETTING", "VALUE"}, Kind::SetDefault),
        changeCommand("settings unset", "Gives a setting its built-in default again.", {"SETTING"},
                      Kind::UnsetDefault),
        changeCommand("settings except",
                      "Adds an exception for a service or failure domain, or replaces it.",
                      {"SCOPE", "TARGET", "SETTING", "VALUE"}, Kind::AddException),
        changeCommand("settings unexcept", "Removes an exception.", {"SCOPE", "TARGET", "SETTING"},
                      Kind::RemoveException),
        changeCommand("settings domain-out", "Takes a failure domain out of service.", {"TARGET"},
                      Kind::TakeDomainOut),
        changeCommand("settings domain-in", "Brings a failure domain back into service.",
                      {"TARGET"}, Kind::BringDomainBack),
        {"settings history",
         "Shows the last changes.",
         {},
         {{"limit", "How many at most.", "20"}},
         showHistory},
        {"settings diff",
         "Shows what changed from one revision to another, or to the present.",
         {"FROM", "TO?"},
         {},
         showDifference},
        {"settings watch",
         "Shows a revision, or the newest, take force VM by VM.",
         {"REVISION?"},
         {{"for-ms", "Longest time to watch, in milliseconds.", "10000"}},
         watchRevision},
        {"state",
         "Shows the state of all VMs, or of one.",
         {},
         {{"vm", "IP:PORT of one VM's operator port; default: all of --vms.", ""}},
         showState},
    };
    return all;
}

} // namespace pimentoctl
