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
    enterSecond(now);
    ++m_primaries;
}

bool RetryBudget::take(SteadyTime now)
{
    constexpr double whole = 100;
    enterSecond(now);
    const double earned = static_cast<double>(m_primaries) * m_settings.percent / whole;
    const double allowed = std::max(earned, static_cast<double>(m_settings.atLeastPerSecond));
    if (m_settings.isEnforced && static_cast<double>(m_extras + 1) > allowed) {
        ++m_refused;
        return false;
    }
    ++m_extras;
    ++m_taken;
    return true;
}

void RetryBudget::enterSecond(SteadyTime now)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    if (second != m_second) {
        m_second = second;
        m_primaries = 0;
        m_extras = 0;
    }
}

} // namespace pimentoward
