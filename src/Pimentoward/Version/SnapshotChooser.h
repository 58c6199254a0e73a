#pragma once

#include "Pimentoward/Version/ServiceCatalog.h"

namespace pimentoward {

/// Chooses the index version that a query pins.
class SnapshotChooser
{
public:
    /// The newest version that is released at `now` and not withdrawn; nothing where there is none.
    static const IndexVersionEntry *choose(const ServiceCatalog &catalog, WallTime now);
};

} // namespace pimentoward
