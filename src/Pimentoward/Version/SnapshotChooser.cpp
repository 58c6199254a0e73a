#include "Pimentoward/Version/SnapshotChooser.h"

namespace pimentoward {

const IndexVersionEntry *SnapshotChooser::choose(const ServiceCatalog &catalog, WallTime now)
{
    for (auto entry = catalog.versions.rbegin(); entry != catalog.versions.rend(); ++entry) {
        if (!entry->withdrawn && entry->releaseTime <= now) {
            return &*entry;
        }
    }
    return nullptr;
}

} // namespace pimentoward
