#include "Pimentoward/Discovery/StoreMirror.h"

#include <algorithm>

namespace pimentoward {

StoreMirror::StoreMirror(const Settings &settings, Hooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_random(settings.seed)
{ }

StoreMirror::Step StoreMirror::nextStep()
{
    if (m_isPausing) {
        m_isPausing = false;
        constexpr unsigned maxDoublings = 8;
        const unsigned doublings = std::min(m_consecutiveFailures - 1, maxDoublings);
        const Duration mean
            = std::min(m_settings.initialBackoff * (1U << doublings), m_settings.maxBackoff);
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        return Pause {scaled(mean, jitter(m_random))};
    }
    if (m_isListing) {
        return List {m_listAfter};
    }
    if (m_hasChanged) {
        m_hasChanged = false;
        return Pause {m_settings.changeBatchDelay};
    }
    return Watch {m_revision};
}

void StoreMirror::apply(const StoreItem &item)
{
    Revision &known = m_revisions[item.key];
    if (item.revision <= known) {
        return;
    }
    known = item.revision;
    m_hooks.onWritten(item);
}

void StoreMirror::remove(const std::string &key, Revision revision)
{
    const auto found = m_revisions.find(key);
    if (found == m_revisions.end() || found->second > revision) {
        return;
    }
    m_revisions.erase(found);
    m_hooks.onRemoved(key, revision);
}

void StoreMirror::onPage(const StorePage &page)
{
    m_consecutiveFailures = 0;
    if (page.era > m_era) {
        const bool isFirstPage = m_listRevision == 0;
        startEra(page.era);
        if (!isFirstPage) {
            // The earlier pages show an earlier era.
            return;
        }
    }
    if (m_listRevision == 0) {
        m_listRevision = page.revision;
    }
    for (const StoreItem &item : page.items) {
        m_listedKeys.insert(item.key);
        apply(item);
    }
    if (page.hasMore && !page.items.empty()) {
        m_listAfter = page.items.back().key;
        return;
    }
    finishList();
}

void StoreMirror::finishList()
{
    std::vector<std::string> removedKeys;
    for (const auto &[key, revision] : m_revisions) {
        if (m_listedKeys.count(key) == 0) {
            removedKeys.push_back(key);
        }
    }
    for (const std::string &key : removedKeys) {
        remove(key, m_listRevision);
    }
    // Keys may change between two pages. The next watch therefore starts at the revision of the
    // first page.
    m_revision = m_listRevision;
    m_listedKeys.clear();
    m_listAfter.clear();
    m_listRevision = 0;
    m_isListing = false;
    m_isComplete = true;
    m_hooks.onCaughtUp(true);
}

void StoreMirror::onChanges(const StoreChanges &changes)
{
    m_consecutiveFailures = 0;
    if (changes.era > m_era) {
        // The changes follow a revision of the new era, which this copy has never had.
        startEra(changes.era);
        return;
    }
    for (const StoreEvent &event : changes.events) {
        if (event.isRemoved) {
            remove(event.item.key, event.item.revision);
        } else {
            apply(event.item);
        }
    }
    m_revision = std::max(m_revision, changes.revision);
    m_hasChanged = !changes.events.empty();
    m_hooks.onCaughtUp(false);
}

void StoreMirror::onFailed(const StoreFailure &failure)
{
    if (failure.error == StoreError::HistoryGone) {
        restartList();
        return;
    }
    ++m_consecutiveFailures;
    m_isPausing = true;
    if (m_isListing) {
        // An interrupted listing starts again, because the keys on its first pages may have changed
        // since.
        restartList();
    }
    m_hooks.onOutage();
}

void StoreMirror::restartList()
{
    m_isListing = true;
    m_listAfter.clear();
    m_listedKeys.clear();
    m_listRevision = 0;
}

void StoreMirror::startEra(StoreEra era)
{
    const bool isFirst = m_revisions.empty() && !m_isComplete;
    m_era = era;
    m_revision = 0;
    for (auto &[key, revision] : m_revisions) {
        revision = 0;
    }
    restartList();
    if (m_hooks.onEra) {
        m_hooks.onEra(era, !isFirst);
    }
}

} // namespace pimentoward
