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

bool BackendHealth::take(unsigned number)
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
    if (!take(number)) {
        return false;
    }
    const bool endsFailures = m_failuresInRow > 0;
    const double learned = learnedSlowness(now);
    m_slowness = learned + m_settings.sampleWeight * (ratio - learned);
    m_learnedAt = now;
    m_failuresInRow = 0;
    m_pausedUntil = now;
    return endsFailures;
}

bool BackendHealth::onFailed(unsigned number, SteadyTime now)
{
    if (!take(number)) {
        return false;
    }
    constexpr unsigned mostDoublings = 8;
    const unsigned doublings = std::min(m_failuresInRow, mostDoublings);
    ++m_failuresInRow;
    const Duration pause = m_settings.firstPause * (1U << doublings);
    m_pausedUntil = now + std::min(pause, m_settings.maxBackoff);
    return m_failuresInRow == 1;
}

bool BackendHealth::isSuspect(SteadyTime now) const
{
    const bool isOverdue = std::any_of(m_inFlight.begin(), m_inFlight.end(),
                                       [&](const Sent &sent) { return sent.overdueAt <= now; });
    return isOverdue || now < m_pausedUntil;
}

double BackendHealth::learnedSlowness(SteadyTime now) const
{
    const std::chrono::duration<double> age = now - m_learnedAt;
    const std::chrono::duration<double> halfLife = m_settings.forgetHalfLife;
    const double kept = std::exp2(-age.count() / halfLife.count());
    return 1 + (m_slowness - 1) * kept;
}

double BackendHealth::expectedSlowness(SteadyTime now) const
{
    return learnedSlowness(now) + m_settings.inFlightWeight * static_cast<double>(inFlight());
}

} // namespace pimentoward
