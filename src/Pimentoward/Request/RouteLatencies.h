#pragma once

#include "Pimentoward/Request/LatencyEstimate.h"
#include "Pimentoward/Version/Route.h"

#include <string>
#include <unordered_map>

namespace pimentoward {

/// Estimates how long the parts of each route's requests take, and when a part is overdue. Performs
/// no I/O.
///
/// Load pattern: requests of one route take similar times, while the routes differ by a factor of
/// ten. Hedging too early doubles the load; a hedge that is sent too late misses the latency
/// objective.
class RouteLatencies
{
public:
    struct Settings
    {
        /// A part is hedged when it has taken longer than this percentage of the route's parts.
        double hedgePercentile = 92;
        /// Minimum hedge delay, as a multiple of the median time.
        double minMedianMultiple = 1.5;
        /// Maximum hedge delay, as a share of the latency objective, since the hedge must still
        /// meet the objective.
        double maxObjectiveShare = 0.45;
        /// Minimum number of parts for which a route's latencies count as known.
        double minSamples = 20;
        /// Assumed median time, as a share of the latency objective, until the median is known.
        double initialObjectiveShare = 0.2;
    };

    RouteLatencies();
    explicit RouteLatencies(const Settings &settings);

    /// Records that a part of a request on `route` was answered or cancelled after `time`.
    void add(const Route &route, Duration time);
    /// The median time of a part on `route`, or the assumed one while it is not known.
    Duration medianTime(const Route &route) const;
    /// Time after which a part on `route` is overdue.
    Duration hedgeDelay(const Route &route) const;

private:
    Settings m_settings;
    std::unordered_map<std::string, LatencyEstimate> m_byRoute;
};

} // namespace pimentoward
