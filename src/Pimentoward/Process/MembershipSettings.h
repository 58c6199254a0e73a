#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>

namespace pimentoward {

/// Times of membership, quorum contact and grants, equal on all members. The switches at the end
/// are for tests and benchmarks only: each turns one safety mechanism off.
struct MembershipSettings
{
    std::chrono::milliseconds heartbeatPeriod {500};
    /// How long an echoed heartbeat permits new work, counted from its sending.
    std::chrono::milliseconds contactTime {2000};
    /// Longest time that a backend server may work on one dispatch.
    std::chrono::milliseconds maxDispatchTime {1000};
    /// Bound on how much faster one member's clock may run than another's, as a share.
    double clockRateMargin = 0.03;
    /// A member not heard for this time looks dead: others ask for its backend servers.
    std::chrono::milliseconds heartbeatTimeout {1200};
    /// A member must look alive for this time before others hand over to it.
    std::chrono::milliseconds stableTime {2000};
    /// An asker without success for this time pauses, so that rival askers may win.
    std::chrono::milliseconds grantRequestTimeout {8000};
    std::chrono::milliseconds grantRequestBackoff {300};
    /// Least time between two heartbeats sent out of turn.
    std::chrono::milliseconds minUrgentInterval {20};

    /// Off: contact and grants count from any message heard.
    bool needsRoundTrip = true;
    /// Off: a grant counts from the echo of any heartbeat, whether or not it asked.
    bool needsRequestingHeartbeat = true;
    /// Off: a member grants as soon as it has started.
    bool waitsAfterRestart = true;
    /// Off: half of the members suffice.
    bool needsMajority = true;
    /// Off: a starting member serves with whatever member list it hears first.
    bool waitsForNewestList = true;
    /// Off: member list changes follow each other at once.
    bool waitsBetweenChanges = true;

    /// How long a granter keeps a grant after the last asking heartbeat: the owner's time, the work
    /// it may have dispatched last, and the clocks' difference.
    Duration holdTime() const
    {
        const Duration time = contactTime + maxDispatchTime;
        return std::chrono::duration_cast<Duration>(time * (1 + clockRateMargin));
    }
    /// How long work may go on after its owner has stopped dispatching.
    Duration dispatchDrainTime() const
    {
        return std::chrono::duration_cast<Duration>(maxDispatchTime * (1 + clockRateMargin));
    }
    /// How many of `members` members suffice to agree.
    std::size_t quorum(std::size_t members) const
    {
        return needsMajority ? members / 2 + 1 : (members + 1) / 2;
    }
};

} // namespace pimentoward
