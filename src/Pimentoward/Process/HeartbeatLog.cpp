#include "Pimentoward/Process/HeartbeatLog.h"

#include <algorithm>

namespace pimentoward {

void HeartbeatLog::record(std::uint64_t sequence, SteadyTime sentAt)
{
    m_sent.push_back({sequence, sentAt});
}

std::optional<SteadyTime> HeartbeatLog::sentAt(std::uint64_t sequence) const
{
    const auto found = std::lower_bound(
        m_sent.begin(), m_sent.end(), sequence,
        [](const Sent &sent, std::uint64_t wanted) { return sent.sequence < wanted; });
    if (found == m_sent.end() || found->sequence != sequence) {
        return std::nullopt;
    }
    return found->at;
}

void HeartbeatLog::removeBefore(SteadyTime time)
{
    while (!m_sent.empty() && m_sent.front().at < time) {
        m_sent.pop_front();
    }
}

} // namespace pimentoward
