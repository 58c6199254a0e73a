#pragma once

#include "Pimentoward/Request/LatencyEstimate.h"
#include "Pimentoward/Version/Route.h"

#include <string>
#include <unordered_map>

namespace pimentoward {

/// How long the parts of each route's requests take, and when one of them is overdue. Does no
/// input or output.
///
/// Load pattern: requests of one kind are alike, those of different kinds differ tenfold; a hedge
/// that comes too early doubles the load, one that comes too late misses the objective.
class RouteLatencies
{
public:
    struct Settings
    {
        /// A part that has taken longer than this share of all is hedged.
        double hedgePercentile = 92;
        /// Never earlier than this multiple of the usual time.
        double minMedianMultiple = 1.5;
        /// Never later than this share of the objective, which a hedge must still meet.
        double maxObjectiveShare = 0.45;
        /// Parts without which nothing is known of a route.
        double minSamples = 20;
        /// Usual time as a share of the objective, until it is known.
        double initialObjectiveShare = 0.2;
    };

    RouteLatencies();
    explicit RouteLatencies(const Settings &settings);

    /// A part of a request on `route` was answered after `time`.
    void add(const Route &route, Duration time);
    /// The median time of a part.
    Duration medianTime(const Route &route) const;
    /// Time after which a part is overdue.
    Duration hedgeDelay(const Route &route) const;

private:
    Settings m_settings;
    std::unordered_map<std::string, LatencyEstimate> m_byRoute;
};

} // namespace pimentoward
