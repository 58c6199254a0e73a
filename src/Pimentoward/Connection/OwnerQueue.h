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

/// Names one subrequest within its owner.
using DispatchToken = std::uint64_t;

/// Subrequests that wait for one backend server: the more urgent class first, then the earlier
/// deadline, then the order of arrival. Bounded; every step takes logarithmic time.
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

    /// What push() did.
    struct Pushed
    {
        /// False where the queue is full of more urgent ones.
        bool isTaken = false;
        /// The least urgent one, which had to leave for it.
        std::optional<DispatchToken> displaced;
    };

    /// Adds an entry; a queue that holds `limit` entries gives up its least urgent one, which may
    /// be the new one.
    Pushed push(const Entry &entry, std::size_t limit);
    /// Removes and returns the most urgent one.
    std::optional<Entry> pop();
    /// Removes one that is no longer wanted; false where it does not wait here.
    bool remove(DispatchToken token);
    /// Removes and returns all whose deadline is at or before `time`.
    std::vector<DispatchToken> takeExpired(SteadyTime time);
    /// Removes and returns all.
    std::vector<DispatchToken> takeAll();
    /// How many entries would be served before this one.
    std::size_t position(const Entry &entry) const;
    /// The earliest deadline of all that wait.
    std::optional<SteadyTime> firstDeadline() const;
    std::size_t size() const { return m_byUrgency.size(); }
    bool isEmpty() const { return m_byUrgency.empty(); }

private:
    /// Class, deadline, order of arrival, token.
    using Key = std::tuple<RequestClass, SteadyTime, std::uint64_t, DispatchToken>;
    /// A tree that also counts the keys before a given one.
    using Tree
        = __gnu_pbds::tree<Key, __gnu_pbds::null_type, std::less<Key>, __gnu_pbds::rb_tree_tag,
                           __gnu_pbds::tree_order_statistics_node_update>;

    void erase(const Key &key);

    Tree m_byUrgency;
    std::set<std::pair<SteadyTime, DispatchToken>> m_byDeadline;
    std::unordered_map<DispatchToken, Key> m_keys;
    std::uint64_t m_arrivals = 0;
};

} // namespace pimentoward
