#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <string>
#include <vector>

namespace pimentoward {

/// The answer to a caller's query.
struct QueryAnswer
{
    RequestId requestId;
    IndexVersion version = 0;
    /// Share of the queried key space that answered whole at `version`, from 0 to 1.
    double coverage = 0;
    /// Shards of the pinned map that are not in the answer.
    std::vector<ShardName> missingShards;
    Reason outcome;
    /// JSON arrays of records, one a shard that answered.
    std::vector<std::string> recordArrays;

    /// The JSON text for the caller; records are joined in the order of the shards.
    std::string toJson() const;
};

} // namespace pimentoward
