#pragma once

#include "Pimentoward/Request/Coordinator.h"
#include "tests/support/QueryPlans.h"
#include "tests/support/VirtualClock.h"

#include <queue>
#include <set>

namespace pimentoward::tests {

/// One coordinator among fake owners and backend servers, all on a virtual clock. What the
/// checkers use comes from the fake's own records, never from the coordinator's counters.
class QuerySimulation
{
public:
    /// One run. Shares are probabilities per subrequest.
    struct Settings
    {
        unsigned seed = 0;
        std::size_t shards = 6;
        unsigned queries = 60;
        Duration queryPeriod = std::chrono::milliseconds(10);
        std::chrono::milliseconds deadline {150};
        bool coverageFirst = false;
        /// A subrequest takes up to so long to reach its backend server.
        Duration maxTransferDelay {0};
        /// Normal time of a subrequest, from half to one and a half of it.
        Duration serviceTime = std::chrono::milliseconds(2);
        double stragglers = 0.01;
        unsigned stragglerFactor = 20;
        double lost = 0;
        double failed = 0;
        /// Answered "not run" by the owner.
        double refused = 0;
        /// Batches that cannot leave the VM.
        double unsent = 0;
        /// Replies that report a cold server.
        double cold = 0;
        /// Backend servers that are slower than the others, and report it.
        std::set<BackendServerId> slowServers;
        unsigned slowFactor = 20;
        double duplicated = 0;
        double mismatched = 0;
        double wrongVersion = 0;
        double truncatedBody = 0;
        Coordinator::Settings coordinator;
        std::map<std::string, std::string> operatorSettings;
    };

    /// What the checkers found wrong, and what was measured.
    struct Findings
    {
        /// Answers with records of another version than stated.
        unsigned mixedVersions = 0;
        /// Answers with another request's records, or a shard's twice.
        unsigned mismatchedRecords = 0;
        /// Answers with a body that was cut.
        unsigned truncatedBodies = 0;
        /// Answers whose coverage or missing shards are not what was sent in time.
        unsigned wrongCoverage = 0;
        /// Queries that had no answer by their deadline, or two.
        unsigned notAnsweredOnce = 0;
        /// Extra subrequests above the budgets, summed over all seconds.
        double extraRequestsAboveBudget = 0;
        /// Subrequests sent to a backend server 150 ms and more after it was taken out.
        unsigned sentAfterTakeOut = 0;

        /// Answers that say "not run" although a subrequest reached a backend server.
        unsigned falseNotRun = 0;

        /// Extra subrequests sent to a server whose last report said cold; with `failed` at 0
        /// these are hedges.
        unsigned extraRequestsToColdServers = 0;

        unsigned completeAnswers = 0;
        unsigned errors = 0;
        unsigned primaries = 0;
        unsigned extraRequests = 0;
        std::vector<Duration> latencies;

        unsigned incorrectAnswers() const
        {
            return mixedVersions + mismatchedRecords + truncatedBodies + wrongCoverage
                + falseNotRun;
        }
        void add(const Findings &other);
    };

    explicit QuerySimulation(const Settings &settings);

    VirtualClock &clock() { return m_clock; }
    /// Runs `event` at `delay` after the start.
    void at(Duration delay, std::function<void()> event);
    /// Adds a version of `shards` shards that is released at once.
    void release(IndexVersion version, std::size_t shards);
    /// The backend servers lack the version from now on.
    void drop(IndexVersion version) { m_dropped.insert(version); }
    /// The backend server takes subrequests and never replies; or does so again.
    void setUnresponsive(const BackendServerId &backendServer, bool isSilent);
    /// Operators take the failure domain out.
    void takeOut(const FailureDomain &failureDomain);
    /// Replaces the schedule.
    void schedule(const std::vector<ScheduleEntry> &entries);
    /// Runs all queries to their end and checks them.
    Findings run();

private:
    struct Event
    {
        SteadyTime time;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };
    /// What the fake knows of one query.
    struct Query
    {
        SteadyTime start;
        unsigned answers = 0;
        /// Shards whose whole reply was handed over, by version.
        std::map<IndexVersion, std::set<ShardName>> delivered;
        /// The version that it pinned first.
        std::optional<IndexVersion> firstVersion;
        /// Subrequests by version and shard that ran or may run.
        std::map<std::pair<IndexVersion, ShardName>, unsigned> ran;
    };

    bool happens(double share);
    Duration serviceTime(const BackendServerId &backendServer);
    bool onBatch(const SubrequestBatch &batch);
    void recordSend(const SubrequestBatch &batch, const SubrequestItem &item);
    void serve(const SubrequestBatch &batch, const SubrequestItem &item);
    void reply(const SubrequestBatch &batch, Subreply whole);
    void deliver(const Subreply &reply, Duration after, bool isGenuine);
    void startQuery();
    void onAnswer(Query &query, const QueryAnswer &answer);
    void checkRecords(const Query &query, const QueryAnswer &answer);
    void publish();

    Settings m_settings;
    VirtualClock m_clock;
    std::mt19937 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextEvent = 0;
    ServiceCatalog m_catalog;
    SettingsDocument m_document;
    std::set<IndexVersion> m_dropped;
    std::set<BackendServerId> m_silent;
    std::map<FailureDomain, SteadyTime> m_outSince;
    /// What the last report that was handed over said.
    std::map<BackendServerId, bool> m_lastCold;
    std::map<RequestId, Query> m_queries;
    unsigned m_nextQuery = 1;
    /// Primaries and extraRequests by second.
    std::map<std::int64_t, std::pair<unsigned, unsigned>> m_seconds;
    Findings m_findings;
    Coordinator m_coordinator;
};

} // namespace pimentoward::tests
