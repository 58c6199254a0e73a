#pragma once

#include "Pimentoward/Core/Types.h"

#include <optional>
#include <vector>

namespace pimentoward {

/// Identifies one heartbeat of the member that receives the echo.
struct HeartbeatEcho
{
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
};

/// Message that one member sends to another every heartbeat period, and additionally when
/// requested or granted backend servers have changed.
struct Heartbeat
{
    MemberId from;
    /// Identifies the run of the sending process.
    Incarnation incarnation = 0;
    /// Increases with each heartbeat of one incarnation.
    std::uint64_t sequence = 0;
    Epoch epoch = 0;
    Revision settingsRevision = 0;
    /// Newest heartbeat that the sender has received from the receiver.
    std::optional<HeartbeatEcho> echo;
    /// False while the sender lacks the newest member list or settings.
    bool ready = false;
    bool leaving = false;
    /// Members that have recently echoed a heartbeat of the sender. Bit n stands for the member at
    /// index n of the epoch's sorted member list.
    std::uint64_t contactMask = 0;
    /// Backend servers to which the sender may dispatch. This list and the next two are sorted.
    std::vector<BackendServerId> owned;
    /// Backend servers that the sender requests, including those that it owns.
    std::vector<BackendServerId> requested;
    /// Backend servers that the sender grants to the receiver for the echoed heartbeat.
    std::vector<BackendServerId> granted;
    /// False if the receiver does not know the list of backend servers that the sender used. The
    /// three lists above are then empty and must be ignored.
    bool serversReadable = true;
};

} // namespace pimentoward
