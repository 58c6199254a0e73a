#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>

namespace pimentoward {

/// Settings of membership, quorum contact and grants, which must be equal on all members. Each
/// switch at the end enables one safety mechanism and is disabled only in tests and benchmarks.
struct MembershipSettings
{
    /// Time between two regular heartbeats to the same member.
    std::chrono::milliseconds heartbeatPeriod {500};
    /// How long an echoed heartbeat permits new work, counted from when it was sent.
    std::chrono::milliseconds contactTime {2000};
    /// Maximum time that a backend server may work on one dispatch.
    std::chrono::milliseconds maxDispatchTime {1000};
    /// Maximum rate difference between the clocks of two members, as a fraction.
    double clockRateMargin = 0.03;
    /// A member from which no heartbeat was received for this time is considered dead, and others
    /// request its backend servers.
    std::chrono::milliseconds heartbeatTimeout {1200};
    /// A member must appear alive for this time before others hand over backend servers to it.
    std::chrono::milliseconds stableTime {2000};
    /// A member that requests a backend server without success for this time pauses its request, so
    /// that a competing member can succeed.
    std::chrono::milliseconds grantRequestTimeout {8000};
    /// Length of the pause after grantRequestTimeout for the member with rank 0; it grows in
    /// proportion to rank + 1.
    std::chrono::milliseconds grantRequestBackoff {300};
    /// Minimum time between heartbeats that are sent before the next period.
    std::chrono::milliseconds minUrgentInterval {20};

    /// Contact and grants count from when an echoed heartbeat was sent. Without it, they count from
    /// the receipt of any heartbeat.
    bool needsRoundTrip = true;
    /// A grant counts only if the echoed heartbeat requested the backend server. Without it, the
    /// echo of any heartbeat is enough.
    bool needsRequestingHeartbeat = true;
    /// A restarted member grants nothing until the hold time has passed. Without it, a member
    /// grants as soon as it has started.
    bool waitsAfterRestart = true;
    /// A quorum is more than half of the members. Without it, half of the members is enough.
    bool needsMajority = true;
    /// A starting member serves only once it knows the newest member list. Without it, it serves
    /// with the first member list that it receives.
    bool waitsForNewestList = true;
    /// Waits for the hold time between two changes of the member list. Without it, changes can
    /// follow each other immediately.
    bool waitsBetweenChanges = true;

    /// Returns how long a granter keeps a grant after the last requesting heartbeat: the contact
    /// time of the owner plus the maximum time of its last dispatch, extended by the clock rate
    /// margin.
    Duration holdTime() const
    {
        const Duration time = contactTime + maxDispatchTime;
        return std::chrono::duration_cast<Duration>(time * (1 + clockRateMargin));
    }
    /// Returns how long work may continue after its owner has stopped dispatching.
    Duration dispatchDrainTime() const
    {
        return std::chrono::duration_cast<Duration>(maxDispatchTime * (1 + clockRateMargin));
    }
    /// Returns how many of `members` members form a quorum.
    std::size_t quorum(std::size_t members) const
    {
        return needsMajority ? members / 2 + 1 : (members + 1) / 2;
    }
};

} // namespace pimentoward
