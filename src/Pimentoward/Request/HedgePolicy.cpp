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
    updateHedgeDelay();
}

Duration HedgePolicy::hedgeRecheckDelay() const
{
    constexpr Duration minDelay = std::chrono::microseconds(500);
    const Duration delay = m_hedgeDelay.value_or(minDelay);
    const double nanos = static_cast<double>(delay.count()) * m_settings.hedgeRecheckFraction;
    return std::max(minDelay, Duration(static_cast<std::int64_t>(nanos)));
}

Duration HedgePolicy::retryBackoff(unsigned round)
{
    constexpr unsigned maxDoublings = 16;
    const unsigned doublings = std::min(std::max(round, 1U) - 1, maxDoublings);
    const Duration backoff
        = std::min(m_settings.initialRetryBackoff * (std::int64_t {1} << doublings),
                   m_settings.maxRetryBackoff);
    // The result is from 0.5 to 1.5 times the mean, so that retries caused by the same failure are
    // spread over time.
    constexpr std::uint32_t randomSteps = 1024;
    const std::uint32_t randomStep = m_random() % randomSteps;
    return backoff / 2 + backoff * randomStep / randomSteps;
}

void HedgePolicy::addPrimary(SteadyTime now)
{
    m_hedges.addPrimary(now);
    m_retries.addPrimary(now);
}

void HedgePolicy::addCancelled(Duration time)
{
    if (!m_hedgeDelay || time >= *m_hedgeDelay) {
        addLatency(time);
    }
}

void HedgePolicy::addLatency(Duration time)
{
    constexpr unsigned samplesPerUpdate = 32;
    m_latency.add(time);
    if (++m_samplesSinceUpdate >= samplesPerUpdate) {
        updateHedgeDelay();
    }
}

void HedgePolicy::updateHedgeDelay()
{
    m_samplesSinceUpdate = 0;
    m_hedgeDelay = m_settings.isHedgingEnabled ? m_latency.quantile(m_settings.quantilePercent)
                                               : std::nullopt;
}

} // namespace pimentoward
