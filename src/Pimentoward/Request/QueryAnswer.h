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
    /// Share of the queried key space whose shards answered at `version`, from 0 to 1.
    double coverage = 0;
    /// Shards of the queried index version whose records are missing from the answer.
    std::vector<ShardName> missingShards;
    /// Result code, with the reason if it is not Ok.
    Reason outcome;
    /// JSON arrays of records, one for each shard that answered, in the order of the shards.
    std::vector<std::string> recordArrays;

    /// Returns the JSON text for the caller, with the records of all shards in one array.
    std::string toJson() const;
};

} // namespace pimentoward
