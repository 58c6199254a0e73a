#include "Pimentoward/Version/ShardMap.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace pimentoward {

std::optional<ShardMap> ShardMap::build(std::vector<Shard> shards, Reason &reason)
{
    const auto refuse = [&](const std::string &problem) -> std::optional<ShardMap> {
        reason = {ResultCode::InvalidMessage, "invalid shard map: " + problem};
        return std::nullopt;
    };
    std::sort(shards.begin(), shards.end(),
              [](const Shard &a, const Shard &b) { return a.range.first < b.range.first; });
    std::uint64_t expectedFirst = 0;
    std::set<ShardName> names;
    for (const Shard &shard : shards) {
        if (shard.range.first != expectedFirst || shard.range.end <= shard.range.first) {
            return refuse("there is a gap, an overlap or an empty range at shard '" + shard.name
                          + "'");
        }
        if (!names.insert(shard.name).second) {
            return refuse("two shards are named '" + shard.name + "'");
        }
        if (shard.replicas.empty()) {
            return refuse("shard '" + shard.name + "' has no replica");
        }
        expectedFirst = shard.range.end;
    }
    if (expectedFirst != KeyRange::keySpaceSize) {
        return refuse("the shards do not cover the key space");
    }
    return ShardMap(std::move(shards));
}

ShardMap::ShardMap(std::vector<Shard> shards)
    : m_shards(std::move(shards))
{ }

const Shard &ShardMap::shardAt(std::uint64_t position) const
{
    assert(position < KeyRange::keySpaceSize);
    const auto next = std::upper_bound(
        m_shards.begin(), m_shards.end(), position,
        [](std::uint64_t value, const Shard &shard) { return value < shard.range.first; });
    return *std::prev(next);
}

} // namespace pimentoward
