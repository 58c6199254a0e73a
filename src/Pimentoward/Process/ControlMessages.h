#pragma once

#include "Pimentoward/Process/Heartbeat.h"
#include "Pimentoward/Process/HeartbeatServerList.h"
#include "Pimentoward/Process/MemberRecord.h"

#include <optional>
#include <string>
#include <variant>

namespace pimentoward {

/// Requests the settings document of the receiving member.
struct SettingsRequest
{
    /// The member that sends the request.
    MemberId from;
};

/// The sender's settings document, in the form that SettingsDocument::parse() reads.
struct SettingsCopy
{
    std::string document;
};

/// A message between the control tasks of two VMs.
using ControlMessage = std::variant<Heartbeat, MemberRecord, SettingsRequest, SettingsCopy>;

/// Encodes a message as a CBOR array whose first item is the message type. Heartbeats encode sets
/// of backend servers as bit strings over `servers`.
std::string encodeControlMessage(const ControlMessage &message, const HeartbeatServerList &servers);
/// Decodes a message. Returns nothing and sets `reason` to InvalidMessage if the input is
/// truncated, too long or has items of the wrong type.
std::optional<ControlMessage>
decodeControlMessage(const std::string &bytes, const HeartbeatServerList &servers, Reason &reason);

} // namespace pimentoward
