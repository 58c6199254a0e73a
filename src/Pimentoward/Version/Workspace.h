#pragma once

#include <optional>
#include <string>

namespace pimentoward {

/// How many requests a workspace may run, over all VMs together. Implemented as a token bucket.
struct RateLimit
{
    /// Requests per second that are added to the bucket; 0 means that there is no limit.
    double requestsPerSecond = 0;
    /// Requests that the bucket holds when it is full.
    double burst = 0;

    bool isLimited() const { return requestsPerSecond > 0; }
};

/// One of the organisations that share a deployment, as the operators' settings describe it.
struct Workspace
{
    std::string name;
    RateLimit limit;
    /// Priority of its requests, in place of the route's; 0 is the most urgent.
    std::optional<int> priority;
};

} // namespace pimentoward
