#pragma once

#include "Pimentoward/Process/Heartbeat.h"
#include "Pimentoward/Process/HeartbeatServerList.h"
#include "Pimentoward/Process/MemberRecord.h"

#include <optional>
#include <string>
#include <variant>

namespace pimentoward {

/// Asks a member for its settings document.
struct SettingsRequest
{
    MemberId from;
};

/// A member's settings document, as SettingsDocument::parse() reads it.
struct SettingsCopy
{
    std::string document;
};

/// A message between the control tasks of two VMs.
using ControlMessage = std::variant<Heartbeat, MemberRecord, SettingsRequest, SettingsCopy>;

/// Encodes a message as a CBOR array whose first item is the message's type. Heartbeats name
/// backend servers by bits of `servers`.
std::string encodeControlMessage(const ControlMessage &message, const HeartbeatServerList &servers);
/// Decodes one; fails with InvalidMessage on truncated, over-long or wrongly typed input.
std::optional<ControlMessage>
decodeControlMessage(const std::string &bytes, const HeartbeatServerList &servers, Reason &reason);

} // namespace pimentoward
