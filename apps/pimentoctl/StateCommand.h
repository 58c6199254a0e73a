#pragma once

#include "apps/pimentoctl/Command.h"

namespace pimentoctl {

/// Prints the state of one VM, or of all VMs, as tables or as JSON.
ToolExit showState(const OperatorClient &client, const CommandInput &input);

} // namespace pimentoctl
