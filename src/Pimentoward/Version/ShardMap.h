#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Version/KeyRange.h"

#include <optional>
#include <vector>

namespace pimentoward {

/// One shard: its range of the key space and the backend servers that hold a replica of it.
struct Shard
{
    ShardName name;
    KeyRange range;
    std::vector<BackendServerId> replicas;
};

/// How one index version divides the key space. Immutable; its shards cover the whole key space
/// without gaps or overlaps.
class ShardMap
{
public:
    /// Validates and sorts the shards. Fails with InvalidMessage if they do not cover the key space
    /// without gaps or overlaps, if two have the same name, or if one has no replica.
    static std::optional<ShardMap> build(std::vector<Shard> shards, Reason &reason);

    /// All shards, sorted by range in ascending order.
    const std::vector<Shard> &shards() const { return m_shards; }
    /// The shard that holds `position`, which must be within the key space.
    const Shard &shardAt(std::uint64_t position) const;

private:
    explicit ShardMap(std::vector<Shard> shards);

    std::vector<Shard> m_shards;
};

} // namespace pimentoward
