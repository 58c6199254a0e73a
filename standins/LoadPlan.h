#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Request/RequestClass.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// One caller request of a load plan.
struct PlannedRequest
{
    /// Intended send time after the start of the load.
    Duration at {};
    ServiceName service;
    RequestClass requestClass = RequestClass::Interactive;
    /// True for a search over all shards, false for a lookup.
    bool isSearch = false;
    /// Record key of a lookup.
    std::string lookupKey;
    /// Fields "key" or "field" and "value": what backend servers get.
    std::string backendBody;
    /// Body of POST /query.
    std::string callerBody;
    std::chrono::milliseconds deadline {0};
};

/// Requests with their intended send times, fixed by a seed: the load is open loop, so that a slow
/// tier does not thin it out.
class LoadPlan
{
public:
    struct Settings
    {
        ServiceName service;
        /// "badges" or "stock", as in the deployment file.
        std::string recordKind;
        /// Records that the service holds.
        std::size_t records = 1;
        /// Requests a second.
        double rate = 1;
        Duration length = std::chrono::seconds(1);
        /// Poisson arrivals; constant gaps otherwise.
        bool isPoisson = true;
        /// Share of searches over all shards, from 0 to 1.
        double searchShare = 0;
        /// Share of requests of the evening class, from 0 to 1.
        double eveningShare = 0;
        std::chrono::milliseconds deadline {1000};
        std::uint32_t seed = 1;
    };

    /// The requests of all services in rising order of their send times.
    static std::vector<PlannedRequest> make(const std::vector<Settings> &services);
};

} // namespace pimentoward::standins
