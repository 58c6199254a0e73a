#pragma once

#include <cstdint>
#include <string>

namespace pimentoward {

/// What a section of a message between VMs is about. The numbers are part of the protocol.
enum class SharedTopic : std::uint8_t {
    /// Tokens of a workspace's rate limit.
    RateLimit = 1,
    /// Counts of replies by software version during a roll-out.
    Rollout = 2
};

/// One section of a message between VMs. Its content is encoded by the part that uses the topic.
struct SharedSection
{
    SharedTopic topic = SharedTopic::RateLimit;
    std::string content;
};

} // namespace pimentoward
