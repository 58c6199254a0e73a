#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// The state of a stand-in key-value store: revisions, leases, transactions and a bounded history.
/// Does no input or output.
class KeyValueModel
{
public:
    struct Settings
    {
        /// How long a change stays in the history.
        Duration history = std::chrono::seconds(20);
        /// Items of one page.
        std::size_t pageItems = 50;
    };

    explicit KeyValueModel(const Settings &settings);

    const StoreItem *read(const std::string &key) const;
    StorePage range(const std::string &prefix, const std::string &after) const;
    /// Changes after a revision; nothing where the history does not reach back so far.
    std::optional<StoreChanges> changes(const std::string &prefix, Revision after) const;
    /// The revision after the transaction; nothing where a condition does not hold, and the reason
    /// NotFound where a lease does not exist.
    std::optional<Revision> transact(const StoreTransaction &transaction, StoreError &error);
    StoreLease grantLease(Duration timeToLive, SteadyTime now);
    bool renewLease(LeaseId lease, SteadyTime now);
    bool endLease(LeaseId lease);

    /// Writes without conditions, as operators and backend servers do.
    Revision put(const std::string &key, const std::string &value, LeaseId lease = 0);
    void remove(const std::string &key);
    /// Ends leases that have run out, and drops old history.
    void expire(SteadyTime now);
    /// Forgets all history.
    void dropHistory();
    Revision revision() const { return m_revision; }

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
    SteadyTime m_now {};
};

} // namespace pimentoward::standins
