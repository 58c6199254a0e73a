#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Request/RequestClass.h"

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimentoward {

/// Identifies one subrequest within its owner.
using DispatchToken = std::uint64_t;

/// The subrequests that wait for one backend server, sorted by request class (the most urgent
/// first), then by deadline, then by order of arrival. The length is limited. Adding, removing and
/// finding a position take logarithmic time.
class OwnerQueue
{
public:
    /// One waiting subrequest.
    struct Entry
    {
        DispatchToken token = 0;
        RequestClass requestClass = RequestClass::Interactive;
        SteadyTime deadline {};
    };

    /// The result of push().
    struct PushResult
    {
        /// False if the queue is full of more urgent entries.
        bool isAccepted = false;
        /// The least urgent entry, if it was removed to make space for the new one.
        std::optional<DispatchToken> evicted;
    };

    /// Adds an entry. If the queue already holds `limit` entries, the least urgent one is removed
    /// or, if the new entry is the least urgent, the new one is not added.
    PushResult push(const Entry &entry, std::size_t limit);
    /// Removes and returns the most urgent entry.
    std::optional<Entry> pop();
    /// Removes an entry that is no longer needed. Returns false if it is not in the queue.
    bool remove(DispatchToken token);
    /// Removes and returns all entries whose deadline is at or before `time`.
    std::vector<DispatchToken> removeExpired(SteadyTime time);
    /// Removes and returns all entries.
    std::vector<DispatchToken> removeAll();
    /// Returns how many of the waiting entries would be served before this one.
    std::size_t position(const Entry &entry) const;
    /// Returns the earliest deadline of all waiting entries.
    std::optional<SteadyTime> earliestDeadline() const;
    /// Returns the number of waiting entries.
    std::size_t size() const { return m_byUrgency.size(); }
    bool isEmpty() const { return m_byUrgency.empty(); }

private:
    /// Request class, deadline, order of arrival, token.
    using Key = std::tuple<RequestClass, SteadyTime, std::uint64_t, DispatchToken>;
    /// A tree that can also count the keys that are smaller than a given one.
    using Tree
        = __gnu_pbds::tree<Key, __gnu_pbds::null_type, std::less<Key>, __gnu_pbds::rb_tree_tag,
                           __gnu_pbds::tree_order_statistics_node_update>;

    void erase(const Key &key);

    Tree m_byUrgency;
    std::set<std::pair<SteadyTime, DispatchToken>> m_byDeadline;
    std::unordered_map<DispatchToken, Key> m_keys;
    std::uint64_t m_arrivalCount = 0;
};

} // namespace pimentoward
