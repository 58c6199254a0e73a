#pragma once

#include "Pimentoward/Version/ServiceCatalog.h"

#include <functional>

namespace pimentoward {

/// Chooses the index version that a query pins, so that all its subrequests read the same snapshot.
class SnapshotChooser
{
public:
    /// True if the backend server can serve the version: it may accept new work, has an owner, and
    /// is not known to be missing the version.
    using CanServeHook = std::function<bool(const BackendServerId &, IndexVersion)>;

    /// What a query needs from an index version.
    struct Query
    {
        /// The time at which a version must be released.
        WallTime time {};
        /// Position of a lookup's key; empty for a search, which needs all shards.
        std::optional<std::uint64_t> position;
        /// Versions that are no longer available to the query; they are not chosen again.
        std::vector<IndexVersion> unavailableVersions;
    };

    /// The newest version that is released, not withdrawn, and served for all shards that the query
    /// needs. If there is none, the version with the highest coverage, and the newest one of
    /// several with the same coverage. Null if no version is released.
    static const IndexVersionEntry *choose(const ServiceCatalog &catalog, const Query &query,
                                           const CanServeHook &canServe);

    /// For a search, the number of key space positions whose shards can be served. For a lookup,
    /// the size of the key space if the shard of its key can be served, else 0.
    static std::uint64_t servedPositions(const IndexVersionEntry &entry, const Query &query,
                                         const CanServeHook &canServe);
};

} // namespace pimentoward
