#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Version/ShardMap.h"

#include <optional>
#include <vector>

namespace pimentoward {

/// The values that a query pins when it starts. Later changes of the catalog or the settings do not
/// affect it.
struct QueryPlan
{
    RequestId requestId;
    ServiceName service;
    /// Index version that all shards are queried at.
    IndexVersion version = 0;
    /// Position of a lookup's record key in the key space. Nothing for a search over all shards.
    std::optional<std::uint64_t> position;
    /// Versions that the query was pinned to before and gave up because replicas no longer had
    /// them.
    std::vector<IndexVersion> unavailableVersions;
    /// Time by which the caller must have received the answer.
    SteadyTime deadline {};
    /// Time reserved before the deadline for sending the answer to the caller.
    Duration answerMargin {0};
    /// The shards that the query needs, with all their replicas.
    std::vector<Shard> shards;
    /// True if an answer with a coverage below `coverageTarget` is an error.
    bool coverageFirst = false;
    /// Minimum coverage of the answer to a coverage-first query, from 0 to 1.
    double coverageTarget = 1;
    /// False if a subrequest may not run twice. It is then not hedged, and retried only after a
    /// reply proves that it was not run.
    bool isIdempotent = true;

    /// Latest time at which the answer is sent.
    SteadyTime answerBy() const { return deadline - answerMargin; }
};

} // namespace pimentoward
