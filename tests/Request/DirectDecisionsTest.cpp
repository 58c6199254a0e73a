#include "Pimentoward/Connection/BackendHealth.h"
#include "Pimentoward/Discovery/LimitSharingMembers.h"
#include "Pimentoward/Request/AnswerTiming.h"
#include "Pimentoward/Request/BackendChooser.h"
#include "Pimentoward/Request/RecordMerge.h"
#include "Pimentoward/Request/RouteLatencies.h"
#include "Pimentoward/Request/SharedRetryBudget.h"
#include "Pimentoward/Request/WeightedRoundRobin.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};

} // namespace

TEST_CASE("Merging keeps the greatest records and duplicates, and ignores incomplete records")
{
    const std::string a = std::string(16, 'a');
    const std::string b = std::string(16, 'b');
    const std::string high = std::string(16, '\xff');
    const std::string first = a + b + "rest";
    const std::string second = b + high;
    CHECK(mergeTopRecords({first, second}, 3) == high + b + b);
    CHECK(mergeTopRecords({first, second}, 10) == high + b + b + a);
    CHECK(mergeTopRecords({"short"}, 3).empty());
    CHECK(mergeTopRecords({}, 3).empty());
}

TEST_CASE("Weighted round robin keeps each service within one request of its share at any time")
{
    WeightedRoundRobin roundRobin;
    Route route;
    route.name = "r";
    route.split = {{"a", 7}, {"b", 2}, {"c", 1}};
    std::map<std::string, int> count;
    for (int index = 1; index <= 1000; ++index) {
        ++count[roundRobin.next(route)];
        CHECK(std::abs(count["a"] - index * 0.7) <= 1.0);
        CHECK(std::abs(count["b"] - index * 0.2) <= 1.0);
        CHECK(std::abs(count["c"] - index * 0.1) <= 1.0);
    }
    route.split = {{"a", 1}, {"c", 1}};
    count.clear();
    for (int index = 0; index < 100; ++index) {
        ++count[roundRobin.next(route)];
    }
    CHECK(count["a"] == 50);
    CHECK(count["c"] == 50);
}

TEST_CASE(
    "All VMs together stay within the shared retry budget in every window, whatever their load")
{
    constexpr std::size_t vms = 7;
    SharedRetryBudget::Settings settings;
    settings.sharedAllowance = 54;
    const bool isShared = GENERATE(true, false);
    std::vector<SharedRetryBudget> budgets(vms, SharedRetryBudget(settings));
    std::deque<SteadyTime> requests;
    std::deque<SteadyTime> extraRequests;
    bool isWithinBudget = true;
    for (SteadyTime now = start; now < start + 60s; now += 10ms) {
        // The load alternates between on and off every 8 s. Each VM tries to send one extra
        // request in every step.
        const bool isLoaded = (now.time_since_epoch() / 8s) % 2 == 0;
        for (SharedRetryBudget &budget : budgets) {
            if (isLoaded) {
                budget.onRequest(now);
                requests.push_back(now);
            }
            if (budget.tryAcquire(now, isShared ? vms : 1)) {
                extraRequests.push_back(now);
            }
        }
        const auto inWindow = [&](const std::deque<SteadyTime> &times, SteadyTime end) {
            return std::count_if(times.begin(), times.end(), [&](SteadyTime time) {
                return time > end - settings.window && time <= end;
            });
        };
        if ((now - start) % 500ms == 0ms) {
            const auto counted
                = std::max(inWindow(requests, now), inWindow(requests, now - settings.window / 2));
            const double bound
                = settings.ratio * static_cast<double>(counted) + settings.sharedAllowance;
            isWithinBudget
                = isWithinBudget && static_cast<double>(inWindow(extraRequests, now)) <= bound;
        }
    }
    CHECK(isWithinBudget == isShared);
    CHECK(extraRequests.size() > 100);
}

TEST_CASE("A VM that has left is counted while the extra requests that it sent are in the window")
{
    LimitSharingMembers members("self", {});
    members.onMemberPresent("b");
    members.onMemberPresent("c");
    CHECK(members.countedMembers(start).size() == 3);
    members.onMemberRemoved("b", start);
    members.onMemberRemoved("self", start);
    CHECK(members.countedMembers(start + 11s).size() == 3);
    REQUIRE(members.nextChange().has_value());
    CHECK(members.countedMembers(*members.nextChange()).size() == 2);
    members.onMemberPresent("b");
    CHECK(members.countedMembers(start + 20s).size() == 3);
}

TEST_CASE("A backend server with an overdue request is suspect until it replies")
{
    BackendHealth health;
    const unsigned sent = health.onSent(start, 50ms);
    CHECK_FALSE(health.isSuspect(start + 49ms));
    CHECK(health.isSuspect(start + 50ms));
    health.onReplied(sent, start + 250ms, 8);
    CHECK_FALSE(health.isSuspect(start + 250ms));
    CHECK(health.expectedSlowness(start + 250ms) > 2);
    CHECK(health.expectedSlowness(start + 30s) < 1.1);
}

TEST_CASE("Consecutive failures keep a backend server suspect for increasing times, up to a limit")
{
    BackendHealth health;
    Duration last {};
    SteadyTime now = start;
    for (int failure = 0; failure < 20; ++failure) {
        health.onFailed(health.onSent(now, 50ms), now);
        Duration backoff {};
        while (health.isSuspect(now + backoff)) {
            backoff += 10ms;
        }
        CHECK(backoff >= last);
        CHECK(backoff <= BackendHealth::Settings().maxBackoff);
        last = backoff;
        now += 10s;
    }
    CHECK(health.onReplied(health.onSent(now, 50ms), now, 1));
    CHECK_FALSE(health.onReplied(health.onSent(now, 50ms), now, 1));
    CHECK_FALSE(health.isSuspect(now));
}

TEST_CASE("The local replica is chosen unless it is slow, suspect or has no free capacity")
{
    const BackendServerId local = "near";
    const BackendServerId remote = "far";
    BackendChooser chooser({});
    BackendChooser::Candidate a {&local, true, true, true, false, 1};
    BackendChooser::Candidate b {&remote, false, true, true, false, 1};
    CHECK(chooser.choose({a, b}, SendPurpose::First).backend == local);
    a.slowness = 4;
    CHECK(chooser.choose({a, b}, SendPurpose::First).backend == remote);
    a.slowness = 1;
    a.isSuspect = true;
    CHECK(chooser.choose({a, b}, SendPurpose::First).backend == remote);
    b.hasFreeCapacity = false;
    const Gather::Choice unavailable = chooser.choose({a, b}, SendPurpose::First);
    CHECK(unavailable.backend.empty());
    CHECK(unavailable.mayBecomeAvailable);
    b.isSuspect = true;
    CHECK(chooser.choose({a, b}, SendPurpose::First).backend == local);
    CHECK(chooser.choose({a, b}, SendPurpose::Hedge).backend.empty());
    CHECK_FALSE(chooser.choose({}, SendPurpose::First).mayBecomeAvailable);
}

TEST_CASE("An answer is sent in time for the objective, measured by the caller's clock")
{
    const AnswerTiming timing;
    AnswerTiming::Request request {start, 2s, 2s, 200ms, false};
    const auto onTime = timing.deadlines(request);
    CHECK(onTime.answerBy < start + 200ms);
    CHECK(onTime.answerBy > start + 150ms);
    CHECK(onTime.deadline < start + 2s);
    request.isFirstOnConnection = true;
    CHECK(timing.deadlines(request).answerBy < onTime.answerBy);
    // For an early retry, the objective still counts from the first attempt.
    request.timeLeft = 1950ms;
    CHECK(timing.deadlines(request).answerBy < onTime.answerBy - 40ms);
    // For a late retry, the objective starts again.
    request.timeLeft = 1500ms;
    CHECK(timing.deadlines(request).answerBy > start + 150ms);
    // The caller has almost no time left.
    request.timeLeft = 3ms;
    CHECK(timing.deadlines(request).deadline > start);
    CHECK(timing.deadlines(request).answerBy <= timing.deadlines(request).deadline);
}

TEST_CASE("The hedge delay exceeds the usual latency, up to half of the latency objective")
{
    RouteLatencies latencies;
    Route route;
    route.name = "r";
    route.latencyObjective = 200ms;
    CHECK(latencies.hedgeDelay(route) <= 100ms);
    for (int index = 0; index < 1000; ++index) {
        latencies.add(route, index % 100 < 96 ? 30ms : 280ms);
    }
    CHECK(latencies.medianTime(route) < 35ms);
    CHECK(latencies.hedgeDelay(route) >= 40ms);
    CHECK(latencies.hedgeDelay(route) <= 60ms);
    for (int index = 0; index < 20'000; ++index) {
        latencies.add(route, 400ms);
    }
    CHECK(latencies.hedgeDelay(route) <= 100ms);
}

TEST_CASE("A replica that is not preferred is used only if no preferred one is usable")
{
    const BackendServerId preferred = "mine";
    const BackendServerId spare = "spare";
    BackendChooser chooser({});
    BackendChooser::Candidate a {&preferred, false, true, true, false, 3};
    BackendChooser::Candidate b {&spare, true, false, true, false, 1};
    CHECK(chooser.choose({a, b}, SendPurpose::First).backend == preferred);
    a.isSuspect = true;
    CHECK(chooser.choose({a, b}, SendPurpose::First).backend == spare);
    CHECK(chooser.choose({a, b}, SendPurpose::Hedge).backend == spare);
    a.isSuspect = false;
    a.hasFreeCapacity = false;
    CHECK(chooser.choose({a, b}, SendPurpose::First).backend == spare);
}
