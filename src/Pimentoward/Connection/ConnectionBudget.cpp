#include "Pimentoward/Connection/ConnectionBudget.h"

#include <algorithm>
#include <cassert>

namespace pimentoward {

ConnectionBudget::ConnectionBudget(const Settings &settings, SteadyTime ownedSince)
    : m_settings(settings)
    , m_ownedSince(ownedSince)
    , m_paidUntil(ownedSince)
{ }

int ConnectionBudget::allowance(SteadyTime now) const
{
    if (!m_settings.keepsBack) {
        return m_settings.connections;
    }
    const bool isNew = now < m_ownedSince + m_settings.handoverTime;
    const int share = isNew ? keptBack() : m_settings.connections - keptBack();
    // More than that has no use; so also an owner that was frozen leaves room for the next ones.
    return std::min(share, m_settings.slots + m_settings.spareConnections);
}

bool ConnectionBudget::mayOpen(SteadyTime now) const
{
    return m_open < allowance(now) && (!m_settings.pacesOpenings || m_paidUntil <= now + burst());
}

SteadyTime ConnectionBudget::nextOpening(SteadyTime now) const
{
    const SteadyTime paced = m_settings.pacesOpenings ? m_paidUntil - burst() : now;
    const SteadyTime counted
        = m_open < allowance(now) ? now : m_ownedSince + m_settings.handoverTime;
    return std::max({now, paced, counted});
}

void ConnectionBudget::onOpened(SteadyTime now)
{
    ++m_open;
    m_paidUntil = std::max(m_paidUntil, now) + openingInterval();
}

void ConnectionBudget::onClosed()
{
    assert(m_open > 0);
    --m_open;
}

int ConnectionBudget::keptBack() const
{
    const int share
        = static_cast<int>(static_cast<double>(m_settings.connections) * m_settings.handoverShare);
    // The owner needs one at least; a single connection cannot be shared, only waited for.
    return std::clamp(share, std::min(1, m_settings.connections - 1), m_settings.connections - 1);
}

Duration ConnectionBudget::openingInterval() const
{
    const double timePerOpening = static_cast<double>(m_settings.connectionCost.count())
        / (m_settings.openingShare * m_settings.slots);
    return Duration(static_cast<Duration::rep>(timePerOpening));
}

Duration ConnectionBudget::burst() const
{
    // One connection a slot may be opened at a stroke.
    return openingInterval() * (m_settings.slots - 1);
}

} // namespace pimentoward
