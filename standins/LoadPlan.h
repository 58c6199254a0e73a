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
    /// Intended send time, counted from the start of the load.
    Duration at {};
    ServiceName service;
    RequestClass requestClass = RequestClass::Interactive;
    /// True for a search over all shards, false for a lookup.
    bool isSearch = false;
    /// Record key of a lookup.
    std::string lookupKey;
    /// Body for backend servers, with the field "key" for a lookup or "field" and "value" for a
    /// search.
    std::string backendBody;
    /// Body of POST /query, which callers send to the tier.
    std::string callerBody;
    std::chrono::milliseconds deadline {0};
};

/// Makes a list of requests with intended send times. The seed determines the whole list. The load
/// is open loop: the send times do not depend on the answers, so that a slow tier does not reduce
/// the rate.
class LoadPlan
{
public:
    struct Settings
    {
        ServiceName service;
        /// "badges" or "stock", as in the deployment file.
        std::string recordKind;
        /// Number of records that the service holds.
        std::size_t records = 1;
        /// Requests per second.
        double rate = 1;
        Duration length = std::chrono::seconds(1);
        /// True for Poisson arrivals, false for constant intervals.
        bool isPoisson = true;
        /// Share of searches over all shards, from 0 to 1.
        double searchShare = 0;
        /// Share of requests in the evening class, from 0 to 1.
        double eveningShare = 0;
        std::chrono::milliseconds deadline {1000};
        std::uint32_t seed = 1;
    };

    /// Returns the requests of all services, ordered by their send times.
    static std::vector<PlannedRequest> make(const std::vector<Settings> &services);
};

} // namespace pimentoward::standins
