#include "Pimentoward/Connection/ConnectionBudget.h"

#include <algorithm>
#include <cassert>

namespace pimentoward {

ConnectionBudget::ConnectionBudget(const Settings &settings, SteadyTime ownedSince)
    : m_settings(settings)
    , m_ownedSince(ownedSince)
    , m_pacedUntil(ownedSince)
{ }

int ConnectionBudget::allowance(SteadyTime now) const
{
    if (!m_settings.reservesHandoverShare) {
        return m_settings.connections;
    }
    const bool isNew = now < m_ownedSince + m_settings.handoverTime;
    const int share = isNew ? handoverReserve() : m_settings.connections - handoverReserve();
    // An owner has no use for more connections. The limit also ensures that an owner which was
    // frozen, and so still holds its connections, leaves some for the next owners.
    return std::min(share, m_settings.slots + m_settings.spareConnections);
}

bool ConnectionBudget::mayOpen(SteadyTime now) const
{
    return m_openConnections < allowance(now)
        && (!m_settings.pacesOpenings || m_pacedUntil <= now + burst());
}

SteadyTime ConnectionBudget::nextOpening(SteadyTime now) const
{
    const SteadyTime earliestByPace = m_settings.pacesOpenings ? m_pacedUntil - burst() : now;
    const SteadyTime earliestByCount
        = m_openConnections < allowance(now) ? now : m_ownedSince + m_settings.handoverTime;
    return std::max({now, earliestByPace, earliestByCount});
}

void ConnectionBudget::onOpened(SteadyTime now)
{
    ++m_openConnections;
    m_pacedUntil = std::max(m_pacedUntil, now) + openingInterval();
}

void ConnectionBudget::onClosed()
{
    assert(m_openConnections > 0);
    --m_openConnections;
}

int ConnectionBudget::handoverReserve() const
{
    const int share
        = static_cast<int>(static_cast<double>(m_settings.connections) * m_settings.handoverShare);
    // An owner needs at least one connection. A single connection cannot be divided: the next owner
    // has to wait until it is closed.
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
    // One connection per slot may be opened without a pause.
    return openingInterval() * (m_settings.slots - 1);
}

} // namespace pimentoward
