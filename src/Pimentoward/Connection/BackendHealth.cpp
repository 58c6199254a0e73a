#include "Pimentoward/Connection/BackendHealth.h"

#include <algorithm>
#include <cmath>

namespace pimentoward {

BackendHealth::BackendHealth()
    : BackendHealth(Settings())
{ }

BackendHealth::BackendHealth(const Settings &settings)
    : m_settings(settings)
{ }

unsigned BackendHealth::onSent(SteadyTime now, Duration overdueAfter)
{
    ++m_lastNumber;
    m_inFlight.push_back({m_lastNumber, now + overdueAfter});
    return m_lastNumber;
}

bool BackendHealth::removeInFlight(unsigned number)
{
    const auto found = std::find_if(m_inFlight.begin(), m_inFlight.end(),
                                    [&](const Sent &sent) { return sent.number == number; });
    if (found == m_inFlight.end()) {
        return false;
    }
    m_inFlight.erase(found);
    return true;
}

bool BackendHealth::onReplied(unsigned number, SteadyTime now, double ratio)
{
    if (!removeInFlight(number)) {
        return false;
    }
    const bool endsFailures = m_consecutiveFailures > 0;
    const double decayed = decayedSlowness(now);
    m_slowness = decayed + m_settings.sampleWeight * (ratio - decayed);
    m_slownessUpdatedAt = now;
    m_consecutiveFailures = 0;
    m_backoffUntil = now;
    return endsFailures;
}

bool BackendHealth::onFailed(unsigned number, SteadyTime now)
{
    if (!removeInFlight(number)) {
        return false;
    }
    constexpr unsigned maxDoublings = 8;
    const unsigned doublings = std::min(m_consecutiveFailures, maxDoublings);
    ++m_consecutiveFailures;
    const Duration backoff = m_settings.initialBackoff * (1U << doublings);
    m_backoffUntil = now + std::min(backoff, m_settings.maxBackoff);
    return m_consecutiveFailures == 1;
}

bool BackendHealth::isSuspect(SteadyTime now) const
{
    const bool isOverdue = std::any_of(m_inFlight.begin(), m_inFlight.end(),
                                       [&](const Sent &sent) { return sent.overdueAt <= now; });
    return isOverdue || now < m_backoffUntil;
}

double BackendHealth::decayedSlowness(SteadyTime now) const
{
    const std::chrono::duration<double> age = now - m_slownessUpdatedAt;
    const std::chrono::duration<double> halfLife = m_settings.decayHalfLife;
    const double remaining = std::exp2(-age.count() / halfLife.count());
    return 1 + (m_slowness - 1) * remaining;
}

double BackendHealth::expectedSlowness(SteadyTime now) const
{
    return decayedSlowness(now) + m_settings.inFlightWeight * static_cast<double>(inFlight());
}

} // namespace pimentoward
