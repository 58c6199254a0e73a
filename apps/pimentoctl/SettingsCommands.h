#pragma once

#include "Pimentoward/Process/SettingsChange.h"
#include "apps/pimentoctl/Command.h"

namespace pimentoctl {

/// Prints the defaults and the exceptions with their reasons.
ToolExit showSettings(const OperatorClient &client, const CommandInput &input);
/// Prints the latest changes.
ToolExit showHistory(const OperatorClient &client, const CommandInput &input);
/// Prints the differences between two revisions.
ToolExit showDifference(const OperatorClient &client, const CommandInput &input);
/// Prints when a revision comes into force on each VM. Ends once it is in force on all of them, or
/// when the time limit is reached.
ToolExit watchRevision(const OperatorClient &client, const CommandInput &input);
/// Sends a change to a VM. Fills in its ID, author, reason and expected revision from the options.
/// The other fields must already be set.
ToolExit sendChange(const OperatorClient &client, const CommandInput &input,
                    pimentoward::SettingsChange change);

} // namespace pimentoctl
