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
    settings.fewestSamples = m_settings.fewestSamples;
    m_byRoute.try_emplace(route.name, settings).first->second.add(time);
}

Duration RouteLatencies::usual(const Route &route) const
{
    const auto found = m_byRoute.find(route.name);
    if (found != m_byRoute.end()) {
        if (const auto median = found->second.quantile(medianPercent)) {
            return *median;
        }
    }
    return scaled(route.latencyObjective, m_settings.firstShare);
}

Duration RouteLatencies::hedgeDelay(const Route &route) const
{
    const Duration latest = scaled(route.latencyObjective, m_settings.latestShare);
    const auto found = m_byRoute.find(route.name);
    if (found == m_byRoute.end()) {
        return latest;
    }
    const auto quantile = found->second.quantile(m_settings.hedgePercent);
    if (!quantile) {
        return latest;
    }
    const Duration earliest = scaled(usual(route), m_settings.leastMultiple);
    return std::min(std::max(*quantile, earliest), latest);
}

} // namespace pimentoward
