#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace pimentoward {

/// One service that a route sends requests to, and its weight when they are distributed.
struct WeightedService
{
    ServiceName service;
    double weight = 1;
};

/// Where the requests for one host and path prefix are sent, and how they may be handled.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// True if callers need no API key.
    bool isPublic = false;
    /// True if a request may safely run more than once.
    bool isIdempotent = false;
    /// Maximum time until a caller gets an answer.
    Duration timeout = std::chrono::seconds(1);
    /// The time within which a request should be answered; later answers are worth little.
    Duration latencyObjective = std::chrono::seconds(1);
    /// Priority among waiting requests; 0 is the most urgent.
    int priority = 0;
    /// Services among which the requests are distributed by weight; empty for a fan-out.
    std::vector<WeightedService> split;
    /// Services that each answer a part of every request; empty unless the route is a fan-out.
    std::vector<ServiceName> shards;
    /// Maximum number of backend servers that may run one request, per shard.
    unsigned maxAttempts = 1;
    /// Maximum number of records in a fan-out's answer.
    std::size_t topRecords = 0;
    /// Minimum share of the shards that a fan-out's answer must contain.
    double minCoverage = 1;

    bool isFanout() const { return !shards.empty(); }
};

} // namespace pimentoward
