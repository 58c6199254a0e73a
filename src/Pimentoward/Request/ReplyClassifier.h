#pragma once

#include "Pimentoward/Connection/BackendConnection.h"
#include "Pimentoward/Connection/HeaderNames.h"
#include "Pimentoward/Request/GatherTypes.h"

namespace pimentoward {

/// Validates a backend server's reply and decides whether the request ran. A reply is classified as
/// a success or a failure only if it carries the backend server's signature. It is classified as
/// "not run" only if the reply says so, if another backend server replied, or if nothing was sent.
ClassifiedReply classifyReply(ExchangeOutcome outcome, HttpReplyMessage reply,
                              const HeaderNames &names);

} // namespace pimentoward
