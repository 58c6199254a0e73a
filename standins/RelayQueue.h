#pragma once

#include "Pimentoward/Core/Types.h"

#include <deque>
#include <optional>
#include <random>
#include <string>

namespace pimentoward::standins {

/// How a relayed link behaves. Bandwidth is unlimited.
struct RelayLinkSettings
{
    /// One-way delay.
    std::chrono::milliseconds delay {0};
    /// Added delay, evenly spread from zero to this.
    std::chrono::milliseconds jitter {0};
    /// Share of chunks that meet a lost packet, from 0 to 1.
    double lossShare = 0;
    /// How long a lost packet holds up the stream until it is sent again.
    std::chrono::milliseconds lossStall {200};
};

/// One way of one relayed connection, without input or output: when each chunk of bytes arrives.
/// Bytes keep their order, so that a stalled chunk holds up those behind it, as in TCP.
class RelayQueue
{
public:
    RelayQueue(const RelayLinkSettings &settings, std::uint32_t seed);

    /// Takes bytes that the sender has sent.
    void push(std::string bytes, SteadyTime now);
    /// Takes out the bytes that have arrived; none while the way is cut.
    std::string takeDue(SteadyTime now);
    /// When the next bytes arrive; nothing while the queue is empty or the way is cut.
    std::optional<SteadyTime> nextDue() const;
    /// A cut way keeps its bytes: TCP sends them again once it is healed.
    void cut() { m_isCut = true; }
    void heal() { m_isCut = false; }
    void updateSettings(const RelayLinkSettings &settings) { m_settings = settings; }
    bool isEmpty() const { return m_chunks.empty(); }
    std::size_t bytes() const { return m_bytes; }

private:
    struct Chunk
    {
        SteadyTime due;
        std::string bytes;
    };

    double uniform();

    RelayLinkSettings m_settings;
    std::mt19937 m_random;
    std::deque<Chunk> m_chunks;
    std::size_t m_bytes = 0;
    bool m_isCut = false;
};

} // namespace pimentoward::standins
