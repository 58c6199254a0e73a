#pragma once

#include "Pimentoward/Core/Types.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace pimentoward {

/// Determines the order in which waiting requests get free capacity.
struct Urgency
{
    /// Priority of the route; 0 is the most urgent.
    int priority = 0;
    SteadyTime readAt {};
    /// A request that is sent after this time is expected to miss the latency objective.
    SteadyTime sendBy {};
};

/// Orders the requests that wait for free capacity at backend servers. Performs no I/O.
///
/// Load pattern: for some seconds there are more requests than the backend servers of a shard can
/// process. If they were ordered by age alone, each would be answered slightly too late. Requests
/// that can still meet their latency objective are therefore sent first, by priority and then
/// oldest first. The others use the remaining capacity.
template <typename Item>
class UrgencyQueue
{
public:
    /// Adds `item`; has no effect if it is already in the queue.
    void add(Item *item, const Urgency &urgency) { m_items.emplace(item, urgency); }
    void remove(Item *item) { m_items.erase(item); }
    bool isEmpty() const { return m_items.empty(); }
    /// All items, in the order in which they are to be sent.
    std::vector<Item *> inOrder(SteadyTime now) const
    {
        std::vector<Rank> ranks;
        ranks.reserve(m_items.size());
        for (const auto &[item, urgency] : m_items) {
            const bool isLate = now > urgency.sendBy;
            const Duration age = now - urgency.readAt;
            ranks.emplace_back(isLate, urgency.priority, isLate ? age : -age, item);
        }
        std::sort(ranks.begin(), ranks.end());
        std::vector<Item *> order;
        order.reserve(ranks.size());
        for (const Rank &rank : ranks) {
            order.push_back(std::get<Item *>(rank));
        }
        return order;
    }

private:
    /// Sort key: whether the item is late, its priority, then its age. Among items in time the
    /// oldest is first, among late ones the youngest.
    using Rank = std::tuple<bool, int, Duration, Item *>;

    std::map<Item *, Urgency> m_items;
};

} // namespace pimentoward
