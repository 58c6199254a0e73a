#include "Pimentoward/Request/RetryBudget.h"

#include <algorithm>

namespace pimentoward {

RetryBudget::RetryBudget()
    : RetryBudget(Settings())
{ }

RetryBudget::RetryBudget(const Settings &settings)
    : m_settings(settings)
{ }

void RetryBudget::addPrimary(SteadyTime now)
{
    resetIfNewSecond(now);
    ++m_primaries;
}

bool RetryBudget::tryAcquire(SteadyTime now)
{
    constexpr double hundredPercent = 100;
    resetIfNewSecond(now);
    const double earned = static_cast<double>(m_primaries) * m_settings.percent / hundredPercent;
    const double allowed = std::max(earned, static_cast<double>(m_settings.minPerSecond));
    if (m_settings.isEnforced && static_cast<double>(m_extraRequests + 1) > allowed) {
        ++m_refused;
        return false;
    }
    ++m_extraRequests;
    ++m_acquired;
    return true;
}

void RetryBudget::resetIfNewSecond(SteadyTime now)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    if (second != m_second) {
        m_second = second;
        m_primaries = 0;
        m_extraRequests = 0;
    }
}

} // namespace pimentoward
