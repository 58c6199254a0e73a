#include "Pimentoward/Request/RouteLatencies.h"

#include <algorithm>

namespace pimentoward {

namespace {

constexpr double medianPercent = 50;

} // namespace

RouteLatencies::RouteLatencies()
    : RouteLatencies(Settings())
{ }

RouteLatencies::RouteLatencies(const Settings &settings)
    : m_settings(settings)
{ }

void RouteLatencies::add(const Route &route, Duration time)
{
    LatencyEstimate::Settings settings;
    settings.minSamples = m_settings.minSamples;
    m_byRoute.try_emplace(route.name, settings).first->second.add(time);
}

Duration RouteLatencies::medianTime(const Route &route) const
{
    const auto found = m_byRoute.find(route.name);
    if (found != m_byRoute.end()) {
        if (const auto median = found->second.quantile(medianPercent)) {
            return *median;
        }
    }
    return scaled(route.latencyObjective, m_settings.initialObjectiveShare);
}

Duration RouteLatencies::hedgeDelay(const Route &route) const
{
    const Duration maxDelay = scaled(route.latencyObjective, m_settings.maxObjectiveShare);
    const auto found = m_byRoute.find(route.name);
    if (found == m_byRoute.end()) {
        return maxDelay;
    }
    const auto quantile = found->second.quantile(m_settings.hedgePercentile);
    if (!quantile) {
        return maxDelay;
    }
    const Duration minDelay = scaled(medianTime(route), m_settings.minMedianMultiple);
    return std::min(std::max(*quantile, minDelay), maxDelay);
}

} // namespace pimentoward
