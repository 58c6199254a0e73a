#include "Pimentoward/Discovery/StoreCopy.h"

#include <algorithm>

namespace pimentoward {

StoreCopy::StoreCopy()
    : StoreCopy(Settings())
{ }

StoreCopy::StoreCopy(const Settings &settings)
    : m_settings(settings)
{ }

void StoreCopy::onWritten(const StoreItem &item)
{
    m_items[item.key] = item;
    m_history.push_back({item, false});
}

void StoreCopy::onRemoved(const std::string &key, Revision revision)
{
    m_items.erase(key);
    m_history.push_back({{key, "", revision, 0}, true});
}

void StoreCopy::onCaughtUp(Revision revision)
{
    m_revision = std::max(m_revision, revision);
    while (m_history.size() > m_settings.historyChanges) {
        m_historyStart = std::max(m_historyStart, m_history.front().item.revision);
        m_history.pop_front();
    }
}

void StoreCopy::startEra(StoreEra era)
{
    m_era = era;
    m_history.clear();
    m_historyStart = 0;
    m_revision = 0;
}

void StoreCopy::clearHistory(Revision revision)
{
    m_history.clear();
    m_historyStart = std::max(m_historyStart, revision);
}

StorePage StoreCopy::range(const std::string &after) const
{
    StorePage page;
    page.revision = m_revision;
    page.era = m_era;
    auto it = after.empty() ? m_items.begin() : m_items.upper_bound(after);
    for (; it != m_items.end() && page.items.size() < m_settings.pageItems; ++it) {
        page.items.push_back(it->second);
    }
    page.hasMore = it != m_items.end();
    return page;
}

std::optional<StoreChanges> StoreCopy::changes(Revision after) const
{
    if (after < m_historyStart) {
        return std::nullopt;
    }
    StoreChanges changes;
    changes.revision = std::max(m_revision, after);
    changes.era = m_era;
    for (const StoreEvent &event : m_history) {
        if (event.item.revision > after) {
            changes.events.push_back(event);
        }
    }
    return changes;
}

} // namespace pimentoward
