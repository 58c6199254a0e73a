#pragma once

#include "Pimentoward/Version/Route.h"

#include <string>
#include <unordered_map>

namespace pimentoward {

/// Distributes the requests of each route over its services by weight, so that each service's count
/// is close to its exact share at any time. Performs no I/O.
///
/// Load pattern: each VM gets only a few requests per second, and the shares are checked over
/// periods of seconds. Random choice would deviate too much from the weights.
class WeightedRoundRobin
{
public:
    /// The service that gets the next request on `route`, which must have at least one service.
    const ServiceName &next(const Route &route);

private:
    struct Rotation
    {
        std::vector<WeightedService> split;
        std::vector<double> credit;
    };

    static bool isSameSplit(const std::vector<WeightedService> &a,
                            const std::vector<WeightedService> &b);

    std::unordered_map<std::string, Rotation> m_rotations;
};

} // namespace pimentoward
