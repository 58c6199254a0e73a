#pragma once

#include "Pimentoward/Core/Types.h"

#include <optional>
#include <vector>

namespace pimentoward {

/// Names one heartbeat of the member that gets the echo.
struct HeartbeatEcho
{
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
};

/// What one member tells another every heartbeat period, or out of turn where asks or grants have
/// changed.
struct Heartbeat
{
    MemberId from;
    /// Run of the sending process.
    Incarnation incarnation = 0;
    /// Rises with each heartbeat of one incarnation.
    std::uint64_t sequence = 0;
    Epoch epoch = 0;
    Revision settingsRevision = 0;
    /// The newest heartbeat that the sender has received from the receiver.
    std::optional<HeartbeatEcho> echo;
    /// False while the sender lacks the newest member list or settings.
    bool ready = false;
    bool leaving = false;
    /// Members with which the sender has exchanged a round trip of late: bit n is the member at
    /// place n of the epoch's sorted list.
    std::uint64_t contactMask = 0;
    /// Backend servers to which the sender may dispatch; sorted, as are the next two.
    std::vector<BackendServerId> owned;
    /// Backend servers that the sender asks for, those that it owns included.
    std::vector<BackendServerId> requested;
    /// Backend servers that the sender grants the receiver on behalf of the echoed heartbeat.
    std::vector<BackendServerId> granted;
    /// False where the receiver does not know the sender's list of backend servers; the three lists
    /// are empty then and mean nothing.
    bool serversReadable = true;
};

} // namespace pimentoward
