#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"

#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>

namespace pimentoward {

/// Decides how a copy of all keys below a prefix is kept: list, watch, list again after a gap in
/// the history, pause after a failure. Does no input or output.
///
/// Load pattern: every VM follows a store that counts each call; many backend servers come or go
/// within a second; the store may be away for seconds and come back with all VMs asking at once.
class StoreMirror
{
public:
    struct Settings
    {
        std::string prefix;
        /// Longest time that a watch waits; bounds how long a connection that fell silent goes
        /// unnoticed.
        Duration watchTime = std::chrono::milliseconds(2500);
        /// Pause after a watch that told something: what changes meanwhile comes with one call.
        Duration changeBatchDelay = std::chrono::milliseconds(200);
        /// Mean pause after the first failure; it doubles up to the longest one.
        Duration initialBackoff = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::milliseconds(800);
        std::uint32_t seed = 1;
    };

    /// Read the page after the key `after`.
    struct List
    {
        std::string after;
    };
    struct Watch
    {
        Revision after = 0;
    };
    /// Ask again by nextStep() after this time.
    struct Pause
    {
        Duration time {};
    };
    using Step = std::variant<List, Watch, Pause>;

    /// What the copy's owner learns. Keys are given whole.
    struct Hooks
    {
        std::function<void(const StoreItem &)> onWritten;
        std::function<void(const std::string &key, Revision)> onRemoved;
        /// Whoever was asked did not answer, or refused.
        std::function<void()> onOutage;
        /// All that one answer told has been handed on; `isList` where it was the end of a list.
        std::function<void(bool isList)> onCaughtUp;
    };

    StoreMirror(const Settings &settings, Hooks hooks);

    /// What to do next.
    Step nextStep();
    void onPage(const StorePage &page);
    void onChanges(const StoreChanges &changes);
    void onFailed(const StoreFailure &failure);
    /// True once a whole list has come.
    bool isComplete() const { return m_isComplete; }
    /// Up to where the copy is known; while a list runs, as of its first page.
    Revision revision() const { return std::max(m_revision, m_listRevision); }

private:
    void apply(const StoreItem &item);
    void remove(const std::string &key, Revision revision);
    void finishList();

    Settings m_settings;
    Hooks m_hooks;
    std::unordered_map<std::string, Revision> m_revisions;
    /// Keys seen by the list that runs.
    std::set<std::string> m_listedKeys;
    std::string m_listAfter;
    /// Revision of the first page of the list that runs; 0 before it.
    Revision m_listRevision = 0;
    Revision m_revision = 0;
    bool m_isListing = true;
    bool m_isComplete = false;
    bool m_isPausing = false;
    bool m_hasChanged = false;
    unsigned m_consecutiveFailures = 0;
    std::mt19937 m_random;
};

} // namespace pimentoward
