#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Version/ShardMap.h"

#include <optional>
#include <vector>

namespace pimentoward {

/// Everything that a query has pinned when it starts; later changes do not reach it.
struct QueryPlan
{
    RequestId requestId;
    ServiceName service;
    IndexVersion version = 0;
    /// Position of a lookup's key; nothing for a search over all shards.
    std::optional<std::uint64_t> position;
    /// Versions that the query has lost before this one.
    std::vector<IndexVersion> lostVersions;
    /// When the caller must hold the answer.
    SteadyTime deadline {};
    /// The query is answered by so much before the deadline, for the way back to the caller.
    Duration answerMargin {0};
    /// The shards that the query needs, with all their replicas.
    std::vector<Shard> shards;
    /// True where an answer below `coverageTarget` is an error.
    bool coverageFirst = false;
    /// Lowest coverage that a coverage-first query accepts, from 0 to 1.
    double coverageTarget = 1;
    /// False where a subrequest may not run twice: no hedge, and a retry only after "not run".
    bool isIdempotent = true;

    /// When the answer leaves at the latest.
    SteadyTime answerBy() const { return deadline - answerMargin; }
};

} // namespace pimentoward
