#pragma once

#include "Pimentoward/Process/SettingsChange.h"
#include "apps/pimentoctl/Command.h"

namespace pimentoctl {

/// Prints the defaults, the exceptions and their reasons.
ToolExit showSettings(const OperatorClient &client, const CommandInput &input);
/// Prints the last changes.
ToolExit showHistory(const OperatorClient &client, const CommandInput &input);
/// Prints what differs between two revisions.
ToolExit showDifference(const OperatorClient &client, const CommandInput &input);
/// Shows a revision take force VM by VM; ends once all have it or the time is over.
ToolExit watchRevision(const OperatorClient &client, const CommandInput &input);
/// Sends a change whose fields are already set; id, author and expected revision are filled in.
ToolExit sendChange(const OperatorClient &client, const CommandInput &input,
                    pimentoward::SettingsChange change);

} // namespace pimentoctl
