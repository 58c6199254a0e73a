#include "Pimentoward/Connection/ConcurrencyLimit.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Minimum of the limit. One request at a time is needed to notice that the backend server is fast
/// again.
constexpr double minLimit = 1;

} // namespace

ConcurrencyLimit::ConcurrencyLimit()
    : ConcurrencyLimit(Settings())
{ }

ConcurrencyLimit::ConcurrencyLimit(const Settings &settings)
    : m_settings(settings)
{ }

void ConcurrencyLimit::changeMaximum(unsigned maximum)
{
    const bool wasAtMaximum = m_limit >= m_maximum;
    m_maximum = maximum;
    m_limit = wasAtMaximum ? m_maximum : std::min<double>(m_limit, m_maximum);
}

void ConcurrencyLimit::onReply(SteadyTime sentAt, SteadyTime now, Duration objective)
{
    const std::chrono::duration<double> replySeconds = now - sentAt;
    const std::chrono::duration<double> objectiveSeconds = objective;
    if (replySeconds > objectiveSeconds * m_settings.longReplyShare) {
        if (sentAt > m_shrunkAt) {
            m_limit = std::max(minLimit, m_limit * m_settings.shrinkFactor);
            m_shrunkAt = now;
        }
    } else if (replySeconds < objectiveSeconds * m_settings.shortReplyShare) {
        m_limit = std::min<double>(m_maximum, m_limit + m_settings.growthStep);
    }
}

bool ConcurrencyLimit::allows(std::size_t inFlight) const
{
    return static_cast<double>(inFlight) + 1 <= std::max(minLimit, m_limit);
}

} // namespace pimentoward
