#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace pimentoward {

/// A VM's copy of the store's content with its latest changes, from which other VMs learn. Does no
/// input or output.
class StoreCopy
{
public:
    struct Settings
    {
        /// Changes kept for VMs that ask what came after a revision.
        std::size_t historyChanges = 4096;
        /// Items of one page.
        std::size_t pageItems = 500;
    };

    StoreCopy();
    explicit StoreCopy(const Settings &settings);

    void onWritten(const StoreItem &item);
    void onRemoved(const std::string &key, Revision revision);
    /// All changes up to `revision` have been handed in.
    void onCaughtUp(Revision revision);
    /// What was handed in last came from a whole list: the order of its changes is unknown, so
    /// that the history begins anew.
    void clearHistory(Revision revision);

    /// False until all of the store's content is known.
    bool isComplete() const { return m_revision > 0; }
    Revision revision() const { return m_revision; }
    StorePage range(const std::string &after) const;
    /// Changes after a revision; nothing where the history does not reach back so far.
    std::optional<StoreChanges> changes(Revision after) const;

private:
    Settings m_settings;
    std::map<std::string, StoreItem> m_items;
    std::deque<StoreEvent> m_history;
    /// The history holds all changes after this revision.
    Revision m_historyStart = 0;
    Revision m_revision = 0;
};

} // namespace pimentoward
