#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Version/ShardMap.h"

#include <vector>

namespace pimentoward {

/// Everything that a query has pinned when it starts; later changes do not reach it.
struct QueryPlan
{
    RequestId requestId;
    ServiceName service;
    IndexVersion version = 0;
    SteadyTime deadline {};
    /// The shards that the query needs, with their replicas in the order of preference.
    std::vector<Shard> shards;
    /// True where an answer below `coverageTarget` is an error.
    bool coverageFirst = false;
    /// Lowest coverage that a coverage-first query accepts, from 0 to 1.
    double coverageTarget = 1;
};

} // namespace pimentoward
