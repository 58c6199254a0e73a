#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Number of a lease; 0 stands for none.
using LeaseId = std::uint64_t;

/// One key and its value.
struct StoreItem
{
    std::string key;
    std::string value;
    /// The store's revision at the last change.
    Revision revision = 0;
    LeaseId lease = 0;
};

/// One change.
struct StoreEvent
{
    StoreItem item;
    /// True where the key was removed; its value is empty then.
    bool isRemoved = false;
};

/// One page of the keys below a prefix.
struct StorePage
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    /// The store's revision when the page was read.
    Revision revision = 0;
};

/// Changes since a revision.
struct StoreChanges
{
    std::vector<StoreEvent> events;
    /// From where the next watch goes on.
    Revision revision = 0;
};

struct StoreLease
{
    LeaseId id = 0;
    /// The time to live that the store grants.
    Duration timeToLive {};
};

/// Writes and removals that take place all together or not at all.
struct StoreTransaction
{
    struct Condition
    {
        std::string key;
        /// The key's revision; 0: it does not exist.
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

/// Why a call to the store gave nothing.
enum class StoreError {
    /// No such key or lease.
    NotFound,
    /// A condition did not hold; nothing was done.
    Conflict,
    /// The changes asked for are no longer known.
    HistoryGone,
    /// The store refused the call; nothing was done.
    Refused,
    /// No answer: the call may have been carried out, or may be later.
    Unanswered,
    /// The answer cannot be understood.
    Malformed
};

struct StoreFailure
{
    StoreError error = StoreError::Unanswered;
    std::string text;
};

/// A platform's key-value store with leases and watches. Hooks run on the loop of the caller's
/// task, never inside the call.
class KeyValueStore
{
public:
    template <typename Value>
    using Hook = std::function<void(std::optional<Value>, const StoreFailure &)>;

    virtual ~KeyValueStore() = default;
    /// Reads a page of the keys that begin with `prefix`, after the key `after`.
    virtual void range(const std::string &prefix, const std::string &after, Hook<StorePage> done)
        = 0;
    /// Answers once a key below `prefix` has changed after `after`, or empty after `wait`.
    virtual void watch(const std::string &prefix, Revision after, Duration wait,
                       Hook<StoreChanges> done)
        = 0;
    /// Gives the store's revision after the transaction.
    virtual void transact(const StoreTransaction &transaction, Hook<Revision> done) = 0;
    virtual void grantLease(Duration timeToLive, Hook<StoreLease> done) = 0;
    virtual void renewLease(LeaseId lease, Hook<LeaseId> done) = 0;
    virtual void endLease(LeaseId lease, Hook<LeaseId> done) = 0;
    /// Calls made so far.
    virtual std::uint64_t calls() const = 0;
};

} // namespace pimentoward
