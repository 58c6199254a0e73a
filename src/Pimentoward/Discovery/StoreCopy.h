#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace pimentoward {

/// A VM's copy of the content of the store, with its latest changes, from which other VMs read.
/// Does no input or output.
class StoreCopy
{
public:
    struct Settings
    {
        /// Number of changes kept for VMs that ask for the changes after a revision.
        std::size_t historyChanges = 4096;
        /// Maximum number of items in one page.
        std::size_t pageItems = 500;
    };

    StoreCopy();
    explicit StoreCopy(const Settings &settings);

    /// Applies the write of a key.
    void onWritten(const StoreItem &item);
    /// Applies the removal of a key at `revision`.
    void onRemoved(const std::string &key, Revision revision);
    /// Reports that all changes up to `revision` have been applied.
    void onCaughtUp(Revision revision);
    /// Reports that the store has come back from a copy, in this era. The copy is incomplete until
    /// the next full listing.
    void startEra(StoreEra era);
    /// Clears the history, which starts again at `revision`. Must be called after a full listing,
    /// because the order of the changes in a listing is unknown.
    void clearHistory(Revision revision);

    /// False until the whole content of the store is known.
    bool isComplete() const { return m_revision > 0; }
    /// Revision up to which all changes have been applied.
    Revision revision() const { return m_revision; }
    StoreEra era() const { return m_era; }
    /// The page of items after the key `after`.
    StorePage range(const std::string &after) const;
    /// The changes after a revision; nothing if the history does not reach back that far.
    std::optional<StoreChanges> changes(Revision after) const;

private:
    Settings m_settings;
    std::map<std::string, StoreItem> m_items;
    std::deque<StoreEvent> m_history;
    /// The history holds all changes after this revision.
    Revision m_historyStart = 0;
    Revision m_revision = 0;
    StoreEra m_era = 0;
};

} // namespace pimentoward
