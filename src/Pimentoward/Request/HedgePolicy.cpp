#include "Pimentoward/Request/HedgePolicy.h"

#include <algorithm>

namespace pimentoward {

HedgePolicy::HedgePolicy()
    : HedgePolicy(Settings())
{ }

HedgePolicy::HedgePolicy(const Settings &settings)
    : m_settings(settings)
    , m_hedges(settings.hedges)
    , m_retries(settings.retries)
    , m_random(settings.seed)
{ }

void HedgePolicy::update(const Settings &settings)
{
    m_settings = settings;
    m_hedges.update(settings.hedges);
    m_retries.update(settings.retries);
    learnDelay();
}

Duration HedgePolicy::hedgeAskAgain() const
{
    constexpr Duration shortest = std::chrono::microseconds(500);
    const Duration delay = m_delay.value_or(shortest);
    const double nanos = static_cast<double>(delay.count()) * m_settings.hedgeAskAgainShare;
    return std::max(shortest, Duration(static_cast<std::int64_t>(nanos)));
}

Duration HedgePolicy::retryPause(unsigned attempt)
{
    constexpr unsigned mostDoublings = 16;
    const unsigned doublings = std::min(std::max(attempt, 1U) - 1, mostDoublings);
    const Duration pause = std::min(m_settings.retryPause * (std::int64_t {1} << doublings),
                                    m_settings.longestRetryPause);
    // From half to one and a half of it, so that retries of one failure do not come together.
    constexpr std::uint32_t steps = 1024;
    const std::uint32_t step = m_random() % steps;
    return pause / 2 + pause * step / steps;
}

void HedgePolicy::addPrimary(SteadyTime now)
{
    m_hedges.addPrimary(now);
    m_retries.addPrimary(now);
}

void HedgePolicy::addLatency(Duration time)
{
    constexpr unsigned samplesPerLearning = 32;
    m_latency.add(time);
    if (++m_samplesSinceLearned >= samplesPerLearning) {
        learnDelay();
    }
}

void HedgePolicy::learnDelay()
{
    m_samplesSinceLearned = 0;
    m_delay = m_settings.isHedging ? m_latency.quantile(m_settings.quantilePercent) : std::nullopt;
}

} // namespace pimentoward
