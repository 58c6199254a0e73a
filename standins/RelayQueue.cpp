#include "standins/RelayQueue.h"

#include <algorithm>

namespace pimentoward::standins {

RelayQueue::RelayQueue(const RelayLinkSettings &settings, std::uint32_t seed)
    : m_settings(settings)
    , m_random(seed)
{ }

void RelayQueue::push(std::string bytes, SteadyTime now)
{
    const auto jitter = std::chrono::duration_cast<Duration>(m_settings.jitter * uniform());
    const bool isLost = uniform() < m_settings.lossShare;
    SteadyTime due = now + m_settings.delay + jitter;
    if (isLost) {
        due += m_settings.lossStall;
    }
    if (!m_chunks.empty()) {
        due = std::max(due, m_chunks.back().due);
    }
    m_bytes += bytes.size();
    m_chunks.push_back({due, std::move(bytes)});
}

std::string RelayQueue::takeDue(SteadyTime now)
{
    std::string due;
    while (!m_isCut && !m_chunks.empty() && m_chunks.front().due <= now) {
        due += m_chunks.front().bytes;
        m_chunks.pop_front();
    }
    m_bytes -= due.size();
    return due;
}

std::optional<SteadyTime> RelayQueue::nextDue() const
{
    if (m_isCut || m_chunks.empty()) {
        return std::nullopt;
    }
    return m_chunks.front().due;
}

double RelayQueue::uniform()
{
    // std::uniform_real_distribution is not used because its results differ between standard
    // libraries.
    constexpr double range = 4294967296.0;
    return static_cast<double>(m_random()) / range;
}

} // namespace pimentoward::standins
