#pragma once

#include "Pimentoward/Core/Types.h"

#include <deque>
#include <optional>
#include <random>
#include <string>

namespace pimentoward::standins {

/// Delay and loss of a relayed link. Bandwidth is unlimited.
struct RelayLinkSettings
{
    /// One-way delay.
    std::chrono::milliseconds delay {0};
    /// Maximum of the random additional delay, which is uniformly distributed from zero.
    std::chrono::milliseconds jitter {0};
    /// Share of chunks in which a packet is lost, from 0 to 1.
    double lossShare = 0;
    /// How long a lost packet stalls the stream until it is retransmitted.
    std::chrono::milliseconds lossStall {200};
};

/// The bytes in flight in one direction of a relayed connection. It decides when each chunk arrives
/// and does no input or output itself. Bytes keep their order, so that a stalled chunk delays those
/// behind it, as in TCP.
class RelayQueue
{
public:
    RelayQueue(const RelayLinkSettings &settings, std::uint32_t seed);

    /// Adds a chunk of bytes that the sender has sent.
    void push(std::string bytes, SteadyTime now);
    /// Removes and returns the bytes that have arrived; none while the direction is cut.
    std::string takeDue(SteadyTime now);
    /// Time at which the next chunk arrives; nothing while the queue is empty or the direction is
    /// cut.
    std::optional<SteadyTime> nextDue() const;
    /// Cuts the direction. It keeps its bytes, because TCP would retransmit them after the cut.
    void cut() { m_isCut = true; }
    /// Ends a cut.
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

    /// Returns a uniformly distributed random number from 0 to 1, 1 excluded.
    double uniform();

    RelayLinkSettings m_settings;
    std::mt19937 m_random;
    std::deque<Chunk> m_chunks;
    std::size_t m_bytes = 0;
    bool m_isCut = false;
};

} // namespace pimentoward::standins
