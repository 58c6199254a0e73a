#include "Pimentoward/Version/SnapshotChooser.h"

#include <algorithm>

namespace pimentoward {

namespace {

bool isServed(const Shard &shard, IndexVersion version,
              const SnapshotChooser::CanServeHook &canServe)
{
    return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                       [&](const BackendServerId &replica) { return canServe(replica, version); });
}

} // namespace

const IndexVersionEntry *SnapshotChooser::choose(const ServiceCatalog &catalog, const Query &query,
                                                 const CanServeHook &canServe)
{
    const IndexVersionEntry *best = nullptr;
    std::uint64_t bestPositions = 0;
    for (auto entry = catalog.versions.rbegin(); entry != catalog.versions.rend(); ++entry) {
        const bool isUnavailable = std::find(query.unavailableVersions.begin(),
                                             query.unavailableVersions.end(), entry->version)
            != query.unavailableVersions.end();
        if (isUnavailable || !catalog.isReleased(*entry, query.time)) {
            continue;
        }
        const std::uint64_t positions = servedPositions(*entry, query, canServe);
        if (best == nullptr || positions > bestPositions) {
            best = &*entry;
            bestPositions = positions;
        }
        if (bestPositions == KeyRange::keySpaceSize) {
            break;
        }
    }
    return best;
}

std::uint64_t SnapshotChooser::servedPositions(const IndexVersionEntry &entry, const Query &query,
                                               const CanServeHook &canServe)
{
    if (query.position) {
        const Shard &shard = entry.shards->shardAt(*query.position);
        return isServed(shard, entry.version, canServe) ? KeyRange::keySpaceSize : 0;
    }
    std::uint64_t total = 0;
    for (const Shard &shard : entry.shards->shards()) {
        total += isServed(shard, entry.version, canServe) ? shard.range.size() : 0;
    }
    return total;
}

} // namespace pimentoward
