#pragma once

#include "Pimentoward/Core/Types.h"

#include <nlohmann/json_fwd.hpp>

namespace pimentoward {

class Membership;

/// State of a group as one member sees it, for the state dump: epoch, contact, counts of what is
/// owned and granted, and each member with the ages of its last heartbeat and echo, in ms.
nlohmann::json membershipDump(const Membership &membership, SteadyTime now);

} // namespace pimentoward
