#include "Pimentoward/Connection/ColdLimit.h"

#include <algorithm>
#include <cassert>

namespace pimentoward {

namespace {

/// Upper limit for the requests per window. A higher limit would have no effect in practice, and
/// the ring buffer takes memory for each request of the share.
constexpr double maxPerWindow = 10'000;

} // namespace

ColdLimit::ColdLimit()
    : ColdLimit(Settings())
{ }

ColdLimit::ColdLimit(const Settings &settings)
    : m_settings(settings)
{ }

void ColdLimit::changeShare(double coldRequestsPerSecond, std::size_t rank, std::size_t members)
{
    assert(rank < members);
    m_isLimited = coldRequestsPerSecond > 0;
    const double bound = coldRequestsPerSecond * m_settings.ratio + m_settings.sharedAllowance;
    const auto total
        = static_cast<std::size_t>(std::min(bound * m_settings.usableShare, maxPerWindow));
    const std::size_t share = total / members + (rank < total % members ? 1 : 0);
    if (!m_isLimited || share == m_share) {
        return;
    }
    // Requests sent within the last window still count towards the new share.
    std::rotate(m_sentAt.begin(), m_sentAt.begin() + static_cast<std::ptrdiff_t>(m_oldest),
                m_sentAt.end());
    const std::size_t kept = std::min(share, m_sentAt.size());
    m_sentAt.erase(m_sentAt.begin(), m_sentAt.end() - static_cast<std::ptrdiff_t>(kept));
    m_sentAt.insert(m_sentAt.begin(), share - kept, SteadyTime());
    m_oldest = 0;
    m_share = share;
}

bool ColdLimit::allows(SteadyTime now) const
{
    if (!m_isLimited || !isCold(now)) {
        return true;
    }
    return m_share > 0 && m_sentAt[m_oldest] + m_settings.window <= now;
}

void ColdLimit::onSent(SteadyTime now)
{
    if (m_share > 0) {
        m_sentAt[m_oldest] = now;
        m_oldest = (m_oldest + 1) % m_share;
    }
}

} // namespace pimentoward
