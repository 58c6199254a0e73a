#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace pimentoward {

/// One service that a route sends to, and its part of the route's requests.
struct WeightedService
{
    ServiceName service;
    double weight = 1;
};

/// Where the requests of one host and path prefix go, and what may be done with them.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// True where a request may run more than once.
    bool isIdempotent = false;
    /// The longest time that a caller is kept waiting.
    Duration timeout = std::chrono::seconds(1);
    /// The time within which an answer is worth most.
    Duration latencyObjective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int priority = 0;
    /// Services that share the requests; empty for a fan-out.
    std::vector<WeightedService> split;
    /// Services each of which answers a part of every request; empty where one service answers.
    std::vector<ServiceName> shards;
    /// Backend servers that one request may be sent to, for each shard.
    unsigned maxAttempts = 1;
    /// Records of a fan-out's answer.
    std::size_t topRecords = 0;
    /// Share of the shards without which a fan-out has no answer.
    double minCoverage = 1;

    bool isFanout() const { return !shards.empty(); }
};

} // namespace pimentoward
