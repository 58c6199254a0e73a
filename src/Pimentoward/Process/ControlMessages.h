#pragma once

#include "Pimentoward/Process/Heartbeat.h"
#include "Pimentoward/Process/HeartbeatServerList.h"
#include "Pimentoward/Process/MemberRecord.h"

#include <optional>
#include <string>
#include <variant>

namespace pimentoward {

/// A message between the control tasks of two VMs.
using ControlMessage = std::variant<Heartbeat, MemberRecord>;

/// Encodes a message as a CBOR array whose first item is the message's type. Heartbeats name
/// backend servers by bits of `servers`.
std::string encodeControlMessage(const ControlMessage &message, const HeartbeatServerList &servers);
/// Decodes one; fails with InvalidMessage on truncated, over-long or wrongly typed input.
std::optional<ControlMessage>
decodeControlMessage(const std::string &bytes, const HeartbeatServerList &servers, Reason &reason);

} // namespace pimentoward
