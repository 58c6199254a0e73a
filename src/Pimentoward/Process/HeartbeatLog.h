#pragma once

#include "Pimentoward/Core/Types.h"

#include <deque>
#include <optional>

namespace pimentoward {

/// Records when this process sent its recent heartbeats. How long an echo permits new work counts
/// from when the echoed heartbeat was sent.
class HeartbeatLog
{
public:
    /// Records one heartbeat. Sequence numbers must increase.
    void record(std::uint64_t sequence, SteadyTime sentAt);
    /// Returns when the heartbeat was sent, or nullopt if it is unknown or was removed.
    std::optional<SteadyTime> sentAt(std::uint64_t sequence) const;
    /// Removes heartbeats sent before `time`.
    void removeBefore(SteadyTime time);

private:
    struct Sent
    {
        std::uint64_t sequence;
        SteadyTime at;
    };

    std::deque<Sent> m_sent;
};

} // namespace pimentoward
