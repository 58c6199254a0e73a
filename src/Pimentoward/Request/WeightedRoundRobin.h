#pragma once

#include "Pimentoward/Version/Route.h"

#include <string>
#include <unordered_map>

namespace pimentoward {

/// Shares the requests of each route among its services by their weights, with the least deviation
/// at any time. Does no input or output.
///
/// Load pattern: few requests a second at each VM, whose shares are looked at over seconds; random
/// choice would be off by chance.
class WeightedRoundRobin
{
public:
    /// The service whose turn it is on `route`, which has at least one.
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
