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

/// Decides which calls keep a copy of all keys with a prefix up to date: a full listing, then
/// watches; a new listing if the history no longer reaches back far enough; a pause after a
/// failure. A store that comes back from a copy of its content starts a new era: everything is
/// listed again, and keys that the copy lacks are removed at the end of the listing. Answers of an
/// earlier position must not be reported. Does no input or output.
///
/// Load pattern: every VM follows a store that counts each call. Many backend servers may start or
/// stop within a second. The store may fail for seconds and then get requests from all VMs at once.
class StoreMirror
{
public:
    struct Settings
    {
        /// Prefix of the keys that are copied.
        std::string prefix;
        /// Maximum time that a watch waits for changes. It bounds how long a broken connection goes
        /// unnoticed.
        Duration watchTime = std::chrono::milliseconds(2500);
        /// Pause after a watch that returned changes, so that further changes are fetched with a
        /// single call.
        Duration changeBatchDelay = std::chrono::milliseconds(200);
        /// Mean pause after the first failure. It doubles with each further failure, up to
        /// `maxBackoff`.
        Duration initialBackoff = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::milliseconds(800);
        /// Seed of the random lengths of the pauses after failures.
        std::uint32_t seed = 1;
    };

    /// Read the page of keys after `after`.
    struct List
    {
        std::string after;
    };
    /// Wait for changes after the revision `after`.
    struct Watch
    {
        Revision after = 0;
    };
    /// Call nextStep() again after this time.
    struct Pause
    {
        Duration time {};
    };
    using Step = std::variant<List, Watch, Pause>;

    /// Hooks that receive the changes of the copy. Keys are given with their prefix.
    struct Hooks
    {
        std::function<void(const StoreItem &)> onWritten;
        std::function<void(const std::string &key, Revision)> onRemoved;
        /// The source did not answer, or refused the call.
        std::function<void()> onOutage;
        /// All changes in an answer have been reported; `isList` is true at the end of a listing.
        std::function<void(bool isList)> onCaughtUp;
        /// An era of the store begins; runs before its changes. `isRestored` is true if the store
        /// has come back from a copy, and false for the first era that is known.
        std::function<void(StoreEra, bool isRestored)> onEra {};
    };

    StoreMirror(const Settings &settings, Hooks hooks);

    /// Returns the next call to make, or a pause. Discovery executes the call and reports its
    /// result.
    Step nextStep();
    /// Applies a page of the listing.
    void onPage(const StorePage &page);
    /// Applies the changes that a watch returned.
    void onChanges(const StoreChanges &changes);
    /// Reports that the last call failed.
    void onFailed(const StoreFailure &failure);
    /// True once a full listing has been received.
    bool isComplete() const { return m_isComplete; }
    /// Revision up to which the copy is known; during a listing at least that of its first page.
    Revision revision() const { return std::max(m_revision, m_listRevision); }
    /// The era and the revision up to which the copy is known.
    StorePosition position() const { return {m_era, revision()}; }

private:
    void apply(const StoreItem &item);
    void remove(const std::string &key, Revision revision);
    void finishList();
    void restartList();
    /// Forgets the revisions of all keys, since they belong to an earlier era.
    void startEra(StoreEra era);

    Settings m_settings;
    Hooks m_hooks;
    std::unordered_map<std::string, Revision> m_revisions;
    /// Keys received so far in the current listing.
    std::set<std::string> m_listedKeys;
    std::string m_listAfter;
    /// Revision of the first page of the current listing; 0 before that page.
    Revision m_listRevision = 0;
    Revision m_revision = 0;
    StoreEra m_era = 0;
    bool m_isListing = true;
    bool m_isComplete = false;
    bool m_isPausing = false;
    bool m_hasChanged = false;
    unsigned m_consecutiveFailures = 0;
    std::mt19937 m_random;
};

} // namespace pimentoward
