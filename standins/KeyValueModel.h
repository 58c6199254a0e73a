#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// The state of a stand-in key-value store: revisions, leases, transactions and a bounded history.
/// It does no input or output.
class KeyValueModel
{
public:
    struct Settings
    {
        /// How long a change is kept in the history.
        Duration history = std::chrono::seconds(20);
        /// Maximum number of items on one page.
        std::size_t pageItems = 50;
    };

    explicit KeyValueModel(const Settings &settings);

    /// Returns the item of a key, or null if there is none.
    const StoreItem *read(const std::string &key) const;
    /// Returns the first page of the items whose keys begin with `prefix` and follow `after`. If
    /// `after` is empty, the page starts at the first key with the prefix.
    StorePage range(const std::string &prefix, const std::string &after) const;
    /// Returns the changes of keys that begin with `prefix` after a revision, or nothing if the
    /// history does not reach back that far.
    std::optional<StoreChanges> changes(const std::string &prefix, Revision after) const;
    /// Carries out a transaction and returns the revision after it. On failure, returns nothing and
    /// sets `error`: Conflict if a condition does not hold, NotFound if a lease does not exist.
    std::optional<Revision> transact(const StoreTransaction &transaction, StoreError &error);
    /// Grants a new lease that ends after `timeToLive` unless it is renewed.
    StoreLease grantLease(Duration timeToLive, SteadyTime now);
    /// Restarts the time to live of a lease; false if the lease does not exist.
    bool renewLease(LeaseId lease, SteadyTime now);
    /// Ends a lease and removes its keys; false if the lease does not exist.
    bool endLease(LeaseId lease);

    /// Writes a key without conditions, as operators and backend servers do, and returns the new
    /// revision.
    Revision put(const std::string &key, const std::string &value, LeaseId lease = 0);
    /// Removes a key; does nothing if it does not exist.
    void remove(const std::string &key);
    /// Ends the leases whose time to live has passed, and drops old changes from the history.
    void expire(SteadyTime now);
    /// Drops the complete history.
    void dropHistory();
    /// Replaces the content, the revision, the leases and the history by those of an earlier copy
    /// of this model, and raises the era.
    void restore(const KeyValueModel &copy);
    Revision revision() const { return m_revision; }
    StoreEra era() const { return m_era; }

private:
    struct Lease
    {
        Duration timeToLive {};
        SteadyTime endsAt {};
    };
    struct Change
    {
        StoreEvent event;
        SteadyTime time {};
    };

    void record(StoreEvent event);

    Settings m_settings;
    std::map<std::string, StoreItem> m_items;
    std::map<LeaseId, Lease> m_leases;
    std::deque<Change> m_history;
    /// The history holds all changes after this revision.
    Revision m_historyStart = 1;
    Revision m_revision = 1;
    LeaseId m_lastLease = 0;
    StoreEra m_era = 0;
    /// Time of the last call of expire(). New changes are stored in the history with this time.
    SteadyTime m_now {};
};

} // namespace pimentoward::standins
