#pragma once

#include "Pimentoward/Core/Types.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace pimentoward {

/// What decides in which order waiting requests get room.
struct Urgency
{
    /// Of the route; 0 is the most urgent.
    int priority = 0;
    SteadyTime readAt {};
    /// What is sent later comes back too late for the objective.
    SteadyTime sendBy {};
};

/// Requests that wait for room at backend servers, in the order in which they get it. Does no input
/// or output.
///
/// Load pattern: more requests than the backend servers of a shard can work on, for seconds. Served
/// by age alone, each would come just too late. Those that can still meet their objective go first,
/// the most urgent class and then the oldest of them; the others share what is left.
template <typename Item>
class UrgencyQueue
{
public:
    /// Adds `item`; no effect where it waits already.
    void add(Item *item, const Urgency &urgency) { m_items.emplace(item, urgency); }
    void remove(Item *item) { m_items.erase(item); }
    bool isEmpty() const { return m_items.empty(); }
    /// All items, the first to be served first.
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
    /// Whether it is late, its priority, then its age: the oldest of those in time first, the
    /// youngest of the others.
    using Rank = std::tuple<bool, int, Duration, Item *>;

    std::map<Item *, Urgency> m_items;
};

} // namespace pimentoward
