#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace pimentoward {

/// Number of a lease; 0 means no lease.
using LeaseId = std::uint64_t;

/// How often the store has come back from a copy of its content. Revisions given out after the copy
/// was made are then given out again. 0 for a store that does not state it.
using StoreEra = std::uint64_t;

/// A point in the history of the store, ordered by era, then by revision.
struct StorePosition
{
    StoreEra era = 0;
    Revision revision = 0;

    bool operator==(const StorePosition &other) const
    {
        return std::tie(era, revision) == std::tie(other.era, other.revision);
    }
    bool operator<(const StorePosition &other) const
    {
        return std::tie(era, revision) < std::tie(other.era, other.revision);
    }
};

/// A key with its value.
struct StoreItem
{
    std::string key;
    std::string value;
    /// Revision of the store at the last change of the key.
    Revision revision = 0;
    LeaseId lease = 0;
};

/// A change of one key.
struct StoreEvent
{
    StoreItem item;
    /// True if the key was removed; the value is empty then.
    bool isRemoved = false;
};

/// One page of the keys that start with a prefix.
struct StorePage
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    /// Revision of the store when the page was read.
    Revision revision = 0;
    /// Era to which all revisions of the page belong.
    StoreEra era = 0;
    /// Number of items that cannot be used and are not in `items`.
    std::size_t leftOut = 0;
};

/// The changes after a revision.
struct StoreChanges
{
    std::vector<StoreEvent> events;
    /// The revision from which the next watch continues.
    Revision revision = 0;
    /// Era to which all revisions of the changes belong.
    StoreEra era = 0;
    /// Number of changes that cannot be used and are not in `events`.
    std::size_t leftOut = 0;
};

/// A lease that the store has granted.
struct StoreLease
{
    LeaseId id = 0;
    /// Time to live that the store has granted.
    Duration timeToLive {};
    /// Era in which the lease was granted. In a later one its number may belong to another lease.
    StoreEra era = 0;
};

/// Writes and removals that the store applies all together or not at all.
struct StoreTransaction
{
    struct Condition
    {
        std::string key;
        /// Revision that the key must have; 0 means that the key must not exist.
        Revision revision = 0;
    };
    struct Write
    {
        std::string key;
        std::string value;
        LeaseId lease = 0;
    };
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    std::vector<std::string> removals;
};

/// Why a call to the store has failed.
enum class StoreError {
    /// The key or lease does not exist.
    NotFound,
    /// A condition of the transaction did not hold; nothing was changed.
    Conflict,
    /// The history of the store no longer reaches back to the requested revision.
    HistoryGone,
    /// The store refused the call; nothing was changed.
    Refused,
    /// No answer arrived. The call may have taken effect, or may still do so.
    Unanswered,
    /// The answer is malformed.
    Malformed
};

/// A failed call to the store, with a text for the log.
struct StoreFailure
{
    StoreError error = StoreError::Unanswered;
    std::string text;
};

/// A platform's key-value store with leases and watches. Hooks run on the loop of the task that
/// makes the call, never inside the call.
class KeyValueStore
{
public:
    template <typename Value>
    using Hook = std::function<void(std::optional<Value>, const StoreFailure &)>;

    virtual ~KeyValueStore() = default;
    /// Reads a page of the keys that start with `prefix`, from the first key after `after`.
    virtual void range(const std::string &prefix, const std::string &after, Hook<StorePage> done)
        = 0;
    /// Answers once a key that starts with `prefix` has changed after the revision `after`, or
    /// without changes after `wait`.
    virtual void watch(const std::string &prefix, Revision after, Duration wait,
                       Hook<StoreChanges> done)
        = 0;
    /// Applies a transaction and returns the revision of the store after it.
    virtual void transact(const StoreTransaction &transaction, Hook<Revision> done) = 0;
    /// Requests a new lease.
    virtual void grantLease(Duration timeToLive, Hook<StoreLease> done) = 0;
    /// Renews a lease; its time to live starts again.
    virtual void renewLease(LeaseId lease, Hook<LeaseId> done) = 0;
    /// Ends a lease; the store removes the keys that were written under it.
    virtual void endLease(LeaseId lease, Hook<LeaseId> done) = 0;
    /// Number of calls made so far.
    virtual std::uint64_t calls() const = 0;
};

} // namespace pimentoward
