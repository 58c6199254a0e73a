#pragma once

#include "apps/pimentoctl/OperatorClient.h"
#include "apps/pimentoctl/ToolExit.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pimentoctl {

/// What a command was given on the command line.
struct CommandInput
{
    /// Values of its positional arguments and of its options, by name.
    std::map<std::string, std::string> values;
    bool asJson = false;

    /// The value, or an empty text.
    std::string value(const std::string &name) const
    {
        const auto found = values.find(name);
        return found == values.end() ? std::string() : found->second;
    }
};

/// One option of a command that takes a value.
struct CommandOption
{
    std::string name;
    std::string help;
    std::string defaultText;
};

/// One command: makes the parsing, the help text and the call.
struct Command
{
    /// Such as "settings set".
    std::string name;
    std::string help;
    /// Names of the positional arguments; one that ends with '?' may be left out.
    std::vector<std::string> arguments;
    std::vector<CommandOption> options;
    std::function<ToolExit(const OperatorClient &, const CommandInput &)> run;
};

/// All commands. None of them touches a single request.
const std::vector<Command> &commands();

} // namespace pimentoctl
