#pragma once

#include "Pimentoward/Connection/BackendConnection.h"
#include "Pimentoward/Connection/HeaderNames.h"
#include "Pimentoward/Request/GatherTypes.h"

namespace pimentoward {

/// Validates a backend server's reply and decides whether the request ran. A status is trusted only
/// where it comes with the backend server's signature, "not run" only where it is stated or where
/// nothing was sent.
ClassifiedReply classifyReply(ExchangeOutcome end, HttpReplyMessage reply,
                              const HeaderNames &names);

} // namespace pimentoward
