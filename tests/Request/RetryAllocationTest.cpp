#include "Pimentoward/Request/RetryAllocation.h"
#include "Pimentoward/Connection/BackendHealth.h"
#include "Pimentoward/Request/BackendChooser.h"
#include "Pimentoward/Request/Gather.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};
constexpr int urgentPriority = 0;
constexpr int routinePriority = 1;
/// Counts of both priorities before the backend servers begin to shed.
constexpr int calm = -1;

/// One VM of many that sends fan-outs to a service whose backend servers refuse a part of their
/// requests for 9 s, in virtual time.
class SheddingService
{
public:
    struct Plan
    {
        double sheddingServers = 0.8;
        double refusedShare = 0.6;
        Gather::Checks checks;
        /// Remembers refusals when a backend server is chosen.
        bool remembersRefusals = true;
    };
    struct Counts
    {
        int requests = 0;
        int answered = 0;
        int notRunFalsely = 0;
    };

    SheddingService(const Plan &plan, std::uint32_t seed)
        : m_plan(plan)
        , m_random(seed)
        , m_chooser({})
    {
        for (std::size_t part = 0; part < parts; ++part) {
            const ServiceName service = "s" + std::to_string(part);
            m_services.push_back(service);
            m_budgets.emplace(service, SharedRetryBudget(budgetSettings(), uniform()));
            for (const char *replica : {"a", "b", "c"}) {
                Server &server = m_servers[service][service + replica];
                server.isShedding = uniform() < plan.sheddingServers;
            }
        }
    }

    /// Plays the load and returns the counts of each priority.
    std::map<int, Counts> run()
    {
        // The caller's requests of a whole deployment, as they fall to one VM.
        std::exponential_distribution<double> gap(requestsPerSecond);
        SteadyTime now = start - 10s;
        while (now < start + 9s) {
            runFanout(uniform() < urgentShare ? urgentPriority : routinePriority, now);
            now += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(gap(m_random)));
        }
        return m_counts;
    }

    unsigned extraRequests() const { return m_extraRequests; }

private:
    struct Server
    {
        bool isShedding = false;
        BackendHealth health;
    };
    struct Reply
    {
        AttemptNumber attempt = 0;
        ServiceName service;
        BackendServerId backend;
        unsigned healthNumber = 0;
        bool isRefused = false;
    };

    static constexpr std::size_t parts = 90;
    static constexpr std::size_t vms = 63;
    static constexpr double requestsPerSecond = 0.65;
    static constexpr double urgentShare = 0.37;
    static constexpr std::chrono::milliseconds refusalTime {8};
    static constexpr std::chrono::milliseconds answerTime {15};

    static SharedRetryBudget::Settings budgetSettings()
    {
        SharedRetryBudget::Settings settings;
        settings.sharedAllowance = 166;
        return settings;
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    GatherPlan plan(int priority, SteadyTime now) const
    {
        const bool isUrgent = priority == urgentPriority;
        GatherPlan plan;
        plan.parts = m_services;
        plan.isFanout = true;
        plan.isIdempotent = true;
        plan.maxAttempts = 2;
        plan.minCoverage = isUrgent ? 0.85 : 0.95;
        plan.priority = priority;
        plan.answerBy = now + (isUrgent ? 50ms : 130ms);
        plan.deadline = now + (isUrgent ? 400ms : 800ms);
        plan.refuseBy = plan.answerBy;
        plan.hedgeDelay = isUrgent ? 25ms : 50ms;
        return plan;
    }

    Gather::Choice choose(const ServiceName &service, const std::vector<BackendServerId> &avoid,
                          SendPurpose purpose, SteadyTime now)
    {
        std::vector<BackendChooser::Candidate> candidates;
        for (const auto &[id, server] : m_servers[service]) {
            if (std::find(avoid.begin(), avoid.end(), id) == avoid.end()) {
                const double refused
                    = m_plan.remembersRefusals ? server.health.refusedShare(now) : 0;
                candidates.push_back({&id, true, true, true, false, 1, refused});
            }
        }
        return m_chooser.choose(candidates, purpose);
    }

    void runFanout(int priority, SteadyTime now)
    {
        for (auto &[service, budget] : m_budgets) {
            budget.onRequest(now, priority);
        }
        const Gather::Environment environment {
            [this](const ServiceName &service, const std::vector<BackendServerId> &avoid,
                   SendPurpose purpose,
                   SteadyTime time) { return choose(service, avoid, purpose, time); },
            [this](const ServiceName &service, SteadyTime time) {
                const bool isAcquired = m_budgets.at(service).tryAcquire(time, vms);
                m_extraRequests += isAcquired ? 1 : 0;
                return isAcquired;
            },
            [this](const ServiceName &service, int kind, SteadyTime time) {
                return m_budgets.at(service).room(time, vms, kind);
            }};
        Gather gather(plan(priority, now), environment, m_plan.checks);
        std::multimap<SteadyTime, Reply> replies;
        GatherActions actions = gather.start(now);
        while (!carryOut(actions, priority, now, replies)) {
            const SteadyTime timer = gather.nextTimer();
            if (replies.empty() || timer < replies.begin()->first) {
                now = timer;
                actions = gather.onTimer(now);
                continue;
            }
            const auto next = replies.begin();
            now = next->first;
            const Reply reply = next->second;
            replies.erase(next);
            actions = gather.onReply(reply.attempt, replyOf(reply, now), now);
        }
    }

    ClassifiedReply replyOf(const Reply &reply, SteadyTime now)
    {
        BackendHealth &health = m_servers[reply.service][reply.backend].health;
        ClassifiedReply result;
        result.isRefused = reply.isRefused;
        result.kind = reply.isRefused ? ReplyKind::NotRun : ReplyKind::Success;
        if (reply.isRefused) {
            health.onRefused(reply.healthNumber, now);
        } else {
            health.onReplied(reply.healthNumber, now, 1);
        }
        return result;
    }

    /// Sends what the actions say. Returns true if the request has ended.
    bool carryOut(const GatherActions &actions, int priority, SteadyTime now,
                  std::multimap<SteadyTime, Reply> &replies)
    {
        for (const GatherAction &action : actions) {
            if (const auto *send = std::get_if<GatherSend>(&action)) {
                const ServiceName &service = m_services[send->part];
                Server &server = m_servers[service][send->backend];
                const bool isRefused
                    = server.isShedding && now >= start && uniform() < m_plan.refusedShare;
                replies.emplace(now + (isRefused ? refusalTime : answerTime),
                                Reply {send->attempt, service, send->backend,
                                       server.health.onSent(now, 1h), isRefused});
            } else {
                const GatherOutcome &outcome = std::get<GatherFinish>(action).outcome;
                Counts &counts = m_counts[now < start ? calm : priority];
                ++counts.requests;
                counts.answered += outcome.reply.status == 200 ? 1 : 0;
                counts.notRunFalsely
                    += outcome.reply.status == 503 && outcome.missing < outcome.parts ? 1 : 0;
                return true;
            }
        }
        return false;
    }

    Plan m_plan;
    std::mt19937 m_random;
    BackendChooser m_chooser;
    std::vector<ServiceName> m_services;
    std::map<ServiceName, SharedRetryBudget> m_budgets;
    std::map<ServiceName, std::map<BackendServerId, Server>> m_servers;
    std::map<int, Counts> m_counts;
    unsigned m_extraRequests = 0;
};

/// Sums over many VMs.
struct Totals
{
    std::map<int, SheddingService::Counts> counts;
    unsigned extraRequests = 0;

    int answered() const
    {
        return counts.at(urgentPriority).answered + counts.at(routinePriority).answered;
    }
    int notRunFalsely() const
    {
        return counts.at(urgentPriority).notRunFalsely + counts.at(routinePriority).notRunFalsely;
    }
    double answeredShare(int priority) const
    {
        const SheddingService::Counts &of = counts.at(priority);
        return static_cast<double>(of.answered) / of.requests;
    }
};

Totals playAll(const SheddingService::Plan &plan)
{
    Totals totals;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        SheddingService service(plan, seed);
        for (const auto &[priority, counts] : service.run()) {
            totals.counts[priority].requests += counts.requests;
            totals.counts[priority].answered += counts.answered;
            totals.counts[priority].notRunFalsely += counts.notRunFalsely;
        }
        totals.extraRequests += service.extraRequests();
    }
    return totals;
}

} // namespace

TEST_CASE("A short retry budget makes fan-outs whole while most backend servers shed")
{
    SheddingService::Plan plan;
    const Totals allocated = playAll(plan);
    plan.checks.wholeFanouts = false;
    const Totals unallocated = playAll(plan);
    plan.checks.refusedAgain = false;
    plan.remembersRefusals = false;
    const Totals before = playAll(plan);
    // More fan-outs are answered, the urgent ones first, and no more of the budget is used.
    CHECK(unallocated.answered() > before.answered());
    CHECK(allocated.answered() > unallocated.answered());
    CHECK(allocated.extraRequests <= unallocated.extraRequests);
    CHECK(allocated.answeredShare(urgentPriority) >= 2 * before.answeredShare(urgentPriority));
    CHECK(allocated.answeredShare(routinePriority) > before.answeredShare(routinePriority));
    for (const Totals &totals : {before, unallocated, allocated}) {
        INFO("urgent " << totals.answeredShare(urgentPriority) << ", routine "
                       << totals.answeredShare(routinePriority) << ", extra requests "
                       << totals.extraRequests);
        CHECK(totals.answeredShare(calm) == 1);
        CHECK(totals.notRunFalsely() == 0);
    }
}

TEST_CASE("Retries are sent only if they are expected to reach the minimum coverage")
{
    const RetryAllocation allocation(0.5);
    // Two retries of a part succeed in three cases of four.
    CHECK(allocation.partsToSend({{1, 2}, {2, 2}, {3, 2}, {4, 2}}, 3).size() == 4);
    CHECK(allocation.partsToSend({{1, 2}, {2, 2}, {3, 2}, {4, 1}}, 3).empty());
    CHECK(allocation.partsToSend({{1, 2}, {2, 2}}, 0).empty());
    CHECK(allocation.partsToSend({{1, 0}, {2, 1}, {3, 3}, {4, 3}}, 1)
          == std::vector<std::size_t> {3, 4});
}

TEST_CASE("A backend server that refuses is not suspect, but others go first for some seconds")
{
    BackendHealth health;
    const auto refuse = [&](SteadyTime now) { health.onRefused(health.onSent(now, 50ms), now); };
    refuse(start);
    refuse(start);
    CHECK_FALSE(health.isSuspect(start + 60ms));
    CHECK(health.inFlight() == 0);
    const double refusedShare = health.refusedShare(start);
    CHECK(refusedShare > 0.5);
    CHECK(health.refusedShare(start + 30s) < 0.01);
    const BackendServerId refusing = "refusing";
    const BackendServerId other = "other";
    BackendChooser chooser({});
    BackendChooser::Candidate a {&refusing, true, true, true, false, 1, refusedShare};
    BackendChooser::Candidate b {&other, false, false, true, false, 2, 0};
    CHECK(chooser.choose({a, b}, SendPurpose::First).backend == other);
    b.hasFreeCapacity = false;
    CHECK(chooser.choose({a, b}, SendPurpose::First).backend == refusing);
    CHECK(chooser.choose({a, b}, SendPurpose::Hedge).backend.empty());
}

TEST_CASE("Less urgent requests leave a part of the retry budget, but can always use half of it")
{
    SharedRetryBudget::Settings settings;
    settings.sharedAllowance = 10;
    settings.usableShare = 1;
    settings.ratio = 0;
    SharedRetryBudget budget(settings);
    CHECK(budget.room(start, 1, routinePriority).left == 10);
    budget.onRequest(start, urgentPriority);
    budget.onRequest(start, urgentPriority);
    budget.onRequest(start, urgentPriority);
    CHECK(budget.room(start, 1, routinePriority).left == 5);
    CHECK(budget.room(start, 1, urgentPriority).left == 10);
    budget.onRequest(start, routinePriority);
    for (int count = 0; count < 5; ++count) {
        CHECK(budget.tryAcquire(start, 1));
    }
    CHECK(budget.room(start, 1, routinePriority).left == 0);
    CHECK(budget.room(start, 1, urgentPriority).left == 5);
    CHECK(budget.room(start, 1, urgentPriority).isShort);
}

TEST_CASE("Rounding lets the VMs together use a budget of less than one request each")
{
    SharedRetryBudget::Settings settings;
    settings.sharedAllowance = 100;
    constexpr std::size_t vms = 300;
    const auto granted = [&](bool isRounded) {
        int count = 0;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            const double rounding
                = isRounded ? (static_cast<double>(vm) + 0.5) / static_cast<double>(vms) : 0;
            SharedRetryBudget budget(settings, rounding);
            count += budget.tryAcquire(start, vms) ? 1 : 0;
            count += budget.tryAcquire(start, vms) ? 1 : 0;
        }
        return count;
    };
    CHECK(granted(false) == 0);
    CHECK(granted(true) == 75);
}
