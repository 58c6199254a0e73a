#pragma once

#include "Pimentoward/Core/Types.h"

#include <deque>
#include <optional>

namespace pimentoward {

/// When this process sent its latest heartbeats, so that an echo counts from the sending.
class HeartbeatLog
{
public:
    /// Notes one heartbeat; sequences rise.
    void record(std::uint64_t sequence, SteadyTime sentAt);
    /// When the heartbeat was sent; nothing where it is unknown or forgotten.
    std::optional<SteadyTime> sentAt(std::uint64_t sequence) const;
    /// Forgets heartbeats sent before `time`.
    void forgetBefore(SteadyTime time);

private:
    struct Sent
    {
        std::uint64_t sequence;
        SteadyTime at;
    };

    std::deque<Sent> m_sent;
};

} // namespace pimentoward
