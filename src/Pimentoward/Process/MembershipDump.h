#pragma once

#include "Pimentoward/Core/Types.h"

#include <nlohmann/json_fwd.hpp>

namespace pimentoward {

class Membership;

/// Returns the state of a group as one member sees it, for the state dump: epoch, contact, numbers
/// of owned and granted backend servers, and for each member the ages of its last heartbeat and
/// echo in milliseconds.
nlohmann::json membershipDump(const Membership &membership, SteadyTime now);

} // namespace pimentoward
