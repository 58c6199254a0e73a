#pragma once

#include "apps/pimentoctl/OperatorClient.h"
#include "apps/pimentoctl/ToolExit.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pimentoctl {

/// The arguments and options of one call of a command.
struct CommandInput
{
    /// Values of the positional arguments and options, by name.
    std::map<std::string, std::string> values;
    /// Prints JSON instead of text.
    bool asJson = false;

    /// Returns the value of an argument or option, or an empty string if there is none.
    std::string value(const std::string &name) const
    {
        const auto found = values.find(name);
        return found == values.end() ? std::string() : found->second;
    }
};

/// One option of a command. Every option takes a value.
struct CommandOption
{
    std::string name;
    std::string help;
    std::string defaultText;
};

/// One command. The command line parser, the help text and the call are derived from it.
struct Command
{
    /// Name of one or two words, such as "settings set".
    std::string name;
    std::string help;
    /// Names of the positional arguments. An argument whose name ends with '?' is optional.
    std::vector<std::string> arguments;
    std::vector<CommandOption> options;
    std::function<ToolExit(const OperatorClient &, const CommandInput &)> run;
};

/// Returns all commands. They read state and change settings; none acts on an individual request.
const std::vector<Command> &commands();

} // namespace pimentoctl
