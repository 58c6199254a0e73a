#include "Pimentoward/Connection/ColdLimit.h"

#include <algorithm>
#include <cassert>

namespace pimentoward {

namespace {

/// A bound beyond this is none in practice; each request of a share takes memory.
constexpr double mostPerWindow = 10'000;

} // namespace

ColdLimit::ColdLimit()
    : ColdLimit(Settings())
{ }

ColdLimit::ColdLimit(const Settings &settings)
    : m_settings(settings)
{ }

void ColdLimit::changeShare(double perSecond, std::size_t rank, std::size_t members)
{
    assert(rank < members);
    m_isBounded = perSecond > 0;
    const double bound = perSecond * m_settings.ratio + m_settings.fixedForAll;
    const auto all
        = static_cast<std::size_t>(std::min(bound * m_settings.spentShare, mostPerWindow));
    const std::size_t share = all / members + (rank < all % members ? 1 : 0);
    if (!m_isBounded || share == m_share) {
        return;
    }
    // What was sent in the last window still counts.
    std::rotate(m_sent.begin(), m_sent.begin() + static_cast<std::ptrdiff_t>(m_next), m_sent.end());
    const std::size_t kept = std::min(share, m_sent.size());
    m_sent.erase(m_sent.begin(), m_sent.end() - static_cast<std::ptrdiff_t>(kept));
    m_sent.insert(m_sent.begin(), share - kept, SteadyTime());
    m_next = 0;
    m_share = share;
}

bool ColdLimit::allows(SteadyTime now) const
{
    if (!m_isBounded || !isCold(now)) {
        return true;
    }
    return m_share > 0 && m_sent[m_next] + m_settings.window <= now;
}

void ColdLimit::onSent(SteadyTime now)
{
    if (m_share > 0) {
        m_sent[m_next] = now;
        m_next = (m_next + 1) % m_share;
    }
}

} // namespace pimentoward
