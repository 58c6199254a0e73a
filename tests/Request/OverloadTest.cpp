#include "Pimentoward/Connection/ConcurrencyLimit.h"
#include "Pimentoward/Request/RouteLatencies.h"
#include "Pimentoward/Request/UrgencyQueue.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};

/// Simulates several VMs that send one backend server more requests than it can process, in virtual
/// time. The backend server processes a few requests at a time and queues the others in the order
/// of their arrival.
class OverloadedServer
{
public:
    struct Plan
    {
        std::size_t vms = 7;
        std::size_t slots = 3;
        Duration serviceTime = 28ms;
        /// 1.4 times the capacity of the slots.
        double requestsPerSecond = 150;
        Duration overloadTime = 5s;
        Duration objective = 200ms;
        /// Time reserved for merging the answer and sending it to the caller.
        Duration reserve = 30ms;
        Duration deadline = 2s;
        unsigned connectionsPerVm = 3;
        bool hasConcurrencyLimit = true;
        bool hasUrgencyOrder = true;
    };

    struct Counts
    {
        int requests = 0;
        int inTime = 0;
        int late = 0;
    };

    OverloadedServer(const Plan &plan, std::uint32_t seed)
        : m_plan(plan)
        , m_random(seed)
        , m_vms(plan.vms)
    {
        m_route.name = "search";
        m_route.latencyObjective = plan.objective;
        for (Vm &vm : m_vms) {
            vm.limit.changeMaximum(plan.connectionsPerVm);
        }
    }

    Counts run()
    {
        scheduleArrivals();
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const std::function<void()> event = std::move(first->second);
            m_events.erase(first);
            event();
        }
        return m_counts;
    }

private:
    struct Request
    {
        std::size_t vm = 0;
        SteadyTime readAt {};
        SteadyTime sentAt {};
    };
    struct Vm
    {
        UrgencyQueue<Request> waiting;
        ConcurrencyLimit limit;
        RouteLatencies latencies;
        std::size_t inFlight = 0;
    };

    void scheduleArrivals()
    {
        std::exponential_distribution<double> gap(m_plan.requestsPerSecond);
        std::uniform_int_distribution<std::size_t> vm(0, m_plan.vms - 1);
        SteadyTime at = start;
        while (at < start + m_plan.overloadTime) {
            at += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(gap(m_random)));
            m_requests.push_back(std::make_unique<Request>(Request {vm(m_random), at, {}}));
            m_events.emplace(at, [this, request = m_requests.back().get()] { arrive(*request); });
        }
    }

    void arrive(Request &request)
    {
        ++m_counts.requests;
        Vm &vm = m_vms[request.vm];
        const SteadyTime due = request.readAt + m_plan.objective - m_plan.reserve;
        const SteadyTime sendBy = due - 2 * vm.latencies.medianTime(m_route);
        vm.waiting.add(&request,
                       {0, request.readAt, m_plan.hasUrgencyOrder ? sendBy : SteadyTime::max()});
        sendWaiting(request.vm);
    }

    void sendWaiting(std::size_t index)
    {
        Vm &vm = m_vms[index];
        for (Request *request : vm.waiting.inOrder(m_now)) {
            const bool hasFreeCapacity = vm.inFlight < m_plan.connectionsPerVm
                && (!m_plan.hasConcurrencyLimit || vm.limit.allows(vm.inFlight));
            if (!hasFreeCapacity) {
                return;
            }
            vm.waiting.remove(request);
            if (m_now < request->readAt + m_plan.deadline) {
                ++vm.inFlight;
                request->sentAt = m_now;
                m_queue.push_back(request);
                startWork();
            }
        }
    }

    void startWork()
    {
        while (m_working < m_plan.slots && !m_queue.empty()) {
            Request *request = m_queue.front();
            m_queue.pop_front();
            ++m_working;
            std::uniform_real_distribution<double> spread(0.5, 1.5);
            const auto time
                = std::chrono::duration_cast<Duration>(m_plan.serviceTime * spread(m_random));
            m_events.emplace(m_now + time, [this, request] { reply(*request); });
        }
    }

    void reply(Request &request)
    {
        --m_working;
        Vm &vm = m_vms[request.vm];
        --vm.inFlight;
        vm.limit.onReply(request.sentAt, m_now, m_plan.objective);
        vm.latencies.add(m_route, m_now - request.sentAt);
        const Duration age = m_now - request.readAt;
        ++(age <= m_plan.objective - m_plan.reserve ? m_counts.inTime : m_counts.late);
        startWork();
        sendWaiting(request.vm);
    }

    Plan m_plan;
    Route m_route;
    std::mt19937 m_random;
    std::vector<Vm> m_vms;
    std::vector<std::unique_ptr<Request>> m_requests;
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::deque<Request *> m_queue;
    std::size_t m_working = 0;
    SteadyTime m_now {};
    Counts m_counts;
};

OverloadedServer::Counts countsOverSeeds(OverloadedServer::Plan plan)
{
    OverloadedServer::Counts all;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const auto [requests, inTime, late] = OverloadedServer(plan, seed).run();
        all.requests += requests;
        all.inTime += inTime;
        all.late += late;
    }
    return all;
}

} // namespace

TEST_CASE(
    "An overloaded shard answers at least four fifths of the requests that it has capacity for "
    "in time")
{
    // Three slots at 28 ms per request can process a share of 0.71 of all requests. At least four
    // fifths of that share must be answered in time.
    constexpr double capacityShare = 0.71;
    const auto share = [](const OverloadedServer::Counts &counts) {
        return static_cast<double>(counts.inTime) / counts.requests;
    };
    OverloadedServer::Plan plan;
    const OverloadedServer::Counts withBoth = countsOverSeeds(plan);
    CHECK(share(withBoth) > 0.8 * capacityShare);

    SECTION("without the concurrency limit, the queue at the backend server delays most answers")
    {
        plan.hasConcurrencyLimit = false;
        CHECK(share(countsOverSeeds(plan)) < 0.5 * share(withBoth));
    }
    SECTION("without the order by urgency, requests are sent when they are slightly too late")
    {
        plan.hasUrgencyOrder = false;
        CHECK(share(countsOverSeeds(plan)) < 0.5 * share(withBoth));
    }
}

TEST_CASE("The concurrency limit does not delay requests to a backend server at low load")
{
    OverloadedServer::Plan plan;
    plan.requestsPerSecond = 40;
    const OverloadedServer::Counts counts = countsOverSeeds(plan);
    CHECK(counts.inTime > 0.99 * counts.requests);
}

TEST_CASE("A slow reply reduces the concurrency limit once, and fast replies restore it")
{
    ConcurrencyLimit limit;
    limit.changeMaximum(4);
    CHECK(limit.allows(3));
    CHECK_FALSE(limit.allows(4));
    const SteadyTime now = start + 1s;
    limit.onReply(start, now, 200ms);
    CHECK(limit.allows(1));
    CHECK_FALSE(limit.allows(2));
    // This request was sent before the limit was reduced, so it does not reduce it again.
    limit.onReply(now - 500ms, now + 1ms, 200ms);
    CHECK(limit.allows(1));
    for (int index = 0; index < 20; ++index) {
        limit.onReply(now, now + 10ms, 200ms);
    }
    CHECK(limit.allows(3));
    CHECK_FALSE(limit.allows(4));
}

TEST_CASE("The concurrency limit stays at one request or more, however slow the replies are")
{
    ConcurrencyLimit limit;
    limit.changeMaximum(3);
    for (int second = 0; second < 50; ++second) {
        const SteadyTime sentAt = start + std::chrono::seconds(2 * second);
        limit.onReply(sentAt, sentAt + 1s, 100ms);
    }
    CHECK(limit.allows(0));
    CHECK_FALSE(limit.allows(1));
}

TEST_CASE("Requests are ordered by being in time, then by priority, then by age")
{
    UrgencyQueue<int> queue;
    int late = 0;
    int old = 1;
    int young = 2;
    int urgent = 3;
    queue.add(&late, {0, start, start + 10ms});
    queue.add(&young, {2, start + 20ms, start + 200ms});
    queue.add(&old, {2, start + 10ms, start + 190ms});
    queue.add(&urgent, {1, start + 30ms, start + 100ms});
    CHECK(queue.inOrder(start + 50ms) == std::vector<int *> {&urgent, &old, &young, &late});
    CHECK(queue.inOrder(start + 150ms) == std::vector<int *> {&old, &young, &late, &urgent});
    queue.remove(&old);
    CHECK(queue.inOrder(start + 50ms) == std::vector<int *> {&urgent, &young, &late});
}
