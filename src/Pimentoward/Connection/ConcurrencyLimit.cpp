#include "Pimentoward/Connection/ConcurrencyLimit.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// One request at a time tells when the backend server is fast again.
constexpr double leastLimit = 1;

} // namespace

ConcurrencyLimit::ConcurrencyLimit()
    : ConcurrencyLimit(Settings())
{ }

ConcurrencyLimit::ConcurrencyLimit(const Settings &settings)
    : m_settings(settings)
{ }

void ConcurrencyLimit::changeMaximum(unsigned most)
{
    const bool wasFull = m_limit >= m_most;
    m_most = most;
    m_limit = wasFull ? m_most : std::min<double>(m_limit, m_most);
}

void ConcurrencyLimit::onReply(SteadyTime sentAt, SteadyTime now, Duration objective)
{
    const std::chrono::duration<double> time = now - sentAt;
    const std::chrono::duration<double> whole = objective;
    if (time > whole * m_settings.longShare) {
        if (sentAt > m_shrunkAt) {
            m_limit = std::max(leastLimit, m_limit * m_settings.shrinkFactor);
            m_shrunkAt = now;
        }
    } else if (time < whole * m_settings.shortShare) {
        m_limit = std::min<double>(m_most, m_limit + m_settings.growStep);
    }
}

bool ConcurrencyLimit::allows(std::size_t inFlight) const
{
    return static_cast<double>(inFlight) + 1 <= std::max(leastLimit, m_limit);
}

} // namespace pimentoward
