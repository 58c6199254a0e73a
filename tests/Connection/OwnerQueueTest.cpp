#include "Pimentoward/Connection/OwnerQueue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime start {1h};

} // namespace

TEST_CASE("A full queue removes its least urgent entry and serves the most urgent first",
          "[connection]")
{
    OwnerQueue queue;
    CHECK(queue.push({1, RequestClass::Evening, start + 10ms}, 2).isAccepted);
    CHECK(queue.push({2, RequestClass::Batch, start + 1ms}, 2).isAccepted);
    const auto pushed = queue.push({3, RequestClass::Interactive, start + 20ms}, 2);
    CHECK(pushed.isAccepted);
    CHECK(pushed.evicted == DispatchToken {2});
    CHECK_FALSE(queue.push({4, RequestClass::Evening, start + 11ms}, 2).isAccepted);
    CHECK(queue.pop()->token == 3);
    CHECK(queue.pop()->token == 1);
    CHECK_FALSE(queue.pop());
}

TEST_CASE("The queue keeps the same order as a sorted list", "[connection]")
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        OwnerQueue queue;
        std::vector<OwnerQueue::Entry> list;
        const auto comesBefore = [](const OwnerQueue::Entry &a, const OwnerQueue::Entry &b) {
            return std::tie(a.requestClass, a.deadline, a.token)
                < std::tie(b.requestClass, b.deadline, b.token);
        };
        for (DispatchToken token = 1; token <= 100; ++token) {
            const OwnerQueue::Entry entry {token, static_cast<RequestClass>(random() % 3),
                                           start + std::chrono::milliseconds(random() % 10)};
            const auto place = std::lower_bound(list.begin(), list.end(), entry, comesBefore);
            REQUIRE(queue.position(entry) == static_cast<std::size_t>(place - list.begin()));
            list.insert(place, entry);
            REQUIRE(queue.push(entry, 1000).isAccepted);
            if (random() % 3 == 0) {
                const auto any = list.begin() + static_cast<std::ptrdiff_t>(random() % list.size());
                REQUIRE(queue.remove(any->token));
                list.erase(any);
            }
        }
        const auto isExpired = [](const auto &entry) { return entry.deadline <= start + 3ms; };
        const auto expired = std::count_if(list.begin(), list.end(), isExpired);
        REQUIRE(queue.removeExpired(start + 3ms).size() == static_cast<std::size_t>(expired));
        list.erase(std::remove_if(list.begin(), list.end(), isExpired), list.end());
        for (const OwnerQueue::Entry &entry : list) {
            REQUIRE(queue.pop()->token == entry.token);
        }
        REQUIRE(queue.isEmpty());
    }
}
