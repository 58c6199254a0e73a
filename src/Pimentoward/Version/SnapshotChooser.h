#pragma once

#include "Pimentoward/Version/ServiceCatalog.h"

#include <functional>

namespace pimentoward {

/// Chooses the index version that a query pins.
class SnapshotChooser
{
public:
    /// True where the backend server can serve the version: it may take new work, has an owner and
    /// is not known to lack the version.
    using CanServeHook = std::function<bool(const BackendServerId &, IndexVersion)>;

    /// What a query asks for.
    struct Query
    {
        WallTime time {};
        /// Position of a lookup's key; a search needs all shards.
        std::optional<std::uint64_t> position;
        /// A version that the query has lost; not chosen again.
        std::vector<IndexVersion> lost;
    };

    /// The newest version that is released, not withdrawn, and served for all shards that the
    /// query needs; where there is none, that of the highest coverage, the newest of equals.
    /// Nothing where no version is released.
    static const IndexVersionEntry *choose(const ServiceCatalog &catalog, const Query &query,
                                           const CanServeHook &canServe);

    /// Positions of the key space that can be served of those that the query needs; for a lookup
    /// all or none.
    static std::uint64_t servedPositions(const IndexVersionEntry &entry, const Query &query,
                                         const CanServeHook &canServe);
};

} // namespace pimentoward
