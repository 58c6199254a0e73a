#include "Pimentoward/Request/WeightedRoundRobin.h"

#include <algorithm>
#include <cassert>

namespace pimentoward {

bool WeightedRoundRobin::isSameSplit(const std::vector<WeightedService> &a,
                                     const std::vector<WeightedService> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const WeightedService &left, const WeightedService &right) {
                          return left.service == right.service && left.weight == right.weight;
                      });
}

const ServiceName &WeightedRoundRobin::next(const Route &route)
{
    assert(!route.split.empty());
    if (route.split.size() == 1) {
        return route.split.front().service;
    }
    Rotation &rotation = m_rotations[route.name];
    if (!isSameSplit(rotation.split, route.split)) {
        rotation = {route.split, std::vector<double>(route.split.size(), 0)};
    }
    // Smooth weighted round robin: each service's credit grows by its weight. The service with the
    // highest credit is chosen, and its credit is reduced by the sum of all weights.
    double total = 0;
    for (std::size_t index = 0; index < route.split.size(); ++index) {
        rotation.credit[index] += route.split[index].weight;
        total += route.split[index].weight;
    }
    const auto chosen = std::max_element(rotation.credit.begin(), rotation.credit.end());
    *chosen -= total;
    return route.split[static_cast<std::size_t>(chosen - rotation.credit.begin())].service;
}

} // namespace pimentoward
