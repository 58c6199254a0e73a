#pragma once

#include "Pimentoward/Request/Coordinator.h"
#include "tests/support/QueryPlans.h"
#include "tests/support/VirtualClock.h"

#include <queue>
#include <set>

namespace pimentoward::tests {

/// Simulates one coordinator with the owners and backend servers that it uses, on a virtual clock.
/// The checks use the records of the simulation, never the coordinator's own counters.
class QuerySimulation
{
public:
    /// Settings of one run. Each share of faults is the probability per subrequest, unless stated
    /// otherwise.
    struct Settings
    {
        unsigned seed = 0;
        std::size_t shards = 6;
        unsigned queries = 60;
        /// Time between the arrivals of two queries.
        Duration queryPeriod = std::chrono::milliseconds(10);
        std::chrono::milliseconds deadline {150};
        bool coverageFirst = false;
        /// Maximum time that a subrequest takes to reach its backend server.
        Duration maxTransferDelay {0};
        /// Mean service time. That of each subrequest is between 0.5 and 1.5 times this value.
        Duration serviceTime = std::chrono::milliseconds(2);
        /// Share of subrequests that take `stragglerFactor` times as long.
        double stragglers = 0.01;
        unsigned stragglerFactor = 20;
        /// Share of subrequests that get no reply.
        double lost = 0;
        /// Share of replies with the code BackendFailed.
        double failed = 0;
        /// Share of subrequests that the owner refuses as not run.
        double refused = 0;
        /// Share of batches of subrequests that cannot be sent.
        double unsent = 0;
        /// Share of replies that report a cold backend server.
        double cold = 0;
        /// Backend servers that take `slowFactor` times as long as the others, and report this.
        std::set<BackendServerId> slowServers;
        unsigned slowFactor = 20;
        /// Share of replies that are delivered twice.
        double duplicated = 0;
        /// Share of replies that are preceded by a reply with the ID of the latest query, another
        /// subrequest number and records of another request.
        double mismatched = 0;
        /// Share of replies that state and contain the next index version, not the requested one.
        double wrongVersion = 0;
        /// Share of replies without the last byte of their body.
        double truncatedBody = 0;
        Coordinator::Settings coordinator;
        std::map<std::string, std::string> operatorSettings;
    };

    /// Violations found by the checks, and measurements.
    struct Findings
    {
        /// Answers with records of an index version other than the one that they state.
        unsigned mixedVersions = 0;
        /// Answers with records of another request, or with the records of one shard twice.
        unsigned mismatchedRecords = 0;
        /// Answers with a truncated array of records.
        unsigned truncatedBodies = 0;
        /// Answers whose coverage or missing shards do not agree with the replies delivered in
        /// time.
        unsigned wrongCoverage = 0;
        /// Queries that had no answer by their deadline, or more than one.
        unsigned notAnsweredOnce = 0;
        /// Extra requests (hedges and retries) above the budgets, summed over all seconds.
        double extraRequestsAboveBudget = 0;
        /// Subrequests sent to a backend server 150 ms or more after its failure domain was taken
        /// out of service.
        unsigned sentAfterOutOfService = 0;

        /// Answers that say "not run" although a subrequest reached a backend server.
        unsigned falseNotRun = 0;

        /// Extra requests sent to a backend server whose last report said that it is cold. If
        /// `failed` is 0, these are hedges.
        unsigned extraRequestsToColdServers = 0;

        /// Answers with the code Ok.
        unsigned completeAnswers = 0;
        /// Answers with an HTTP status other than 200.
        unsigned errors = 0;
        /// First subrequests for each shard, counted in the first index version of each query.
        unsigned primaries = 0;
        /// Subrequests for a shard for which an earlier subrequest of the same query and index
        /// version has run or may run.
        unsigned extraRequests = 0;
        std::vector<Duration> latencies;

        /// Sum of the counts of answers that state something false.
        unsigned incorrectAnswers() const
        {
            return mixedVersions + mismatchedRecords + truncatedBodies + wrongCoverage
                + falseNotRun;
        }
        /// Adds the findings of another run.
        void add(const Findings &other);
    };

    explicit QuerySimulation(const Settings &settings);

    VirtualClock &clock() { return m_clock; }
    /// Runs `event` once `delay` has passed.
    void after(Duration delay, std::function<void()> event);
    /// Adds an index version with `shards` shards, which is released at once.
    void release(IndexVersion version, std::size_t shards);
    /// Removes the index version from all backend servers.
    void drop(IndexVersion version) { m_dropped.insert(version); }
    /// Makes the backend server accept subrequests without a reply, or makes it reply again.
    void setUnresponsive(const BackendServerId &backendServer, bool isUnresponsive);
    /// Takes the failure domain out of service, as an operator does.
    void takeOutOfService(const FailureDomain &failureDomain);
    /// Replaces the schedule of the service.
    void schedule(const std::vector<ScheduleEntry> &entries);
    /// Runs all queries to their end and returns what the checks found.
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
    /// The record that the simulation keeps of one query.
    struct Query
    {
        SteadyTime start;
        unsigned answers = 0;
        /// Shards of which a complete and correct reply was delivered, by index version.
        std::map<IndexVersion, std::set<ShardName>> delivered;
        /// The index version of its first subrequest.
        std::optional<IndexVersion> firstVersion;
        /// Number of subrequests that have run or may run, by index version and shard.
        std::map<std::pair<IndexVersion, ShardName>, unsigned> runs;
    };

    /// Returns true with probability `share`.
    bool chance(double share);
    Duration serviceTime(const BackendServerId &backendServer);
    bool onBatch(const SubrequestBatch &batch);
    void recordSend(const SubrequestBatch &batch, const SubrequestItem &item);
    void serve(const SubrequestBatch &batch, const SubrequestItem &item);
    void reply(const SubrequestBatch &batch, Subreply subreply);
    /// Delivers a reply after a delay. `isCorrect` is false if the coordinator must not use its
    /// records.
    void deliver(const Subreply &reply, Duration delay, bool isCorrect);
    void startQuery();
    void onAnswer(Query &query, const QueryAnswer &answer);
    void checkRecords(const Query &query, const QueryAnswer &answer);
    /// Passes a new control view to the coordinator.
    void publish();

    Settings m_settings;
    VirtualClock m_clock;
    std::mt19937 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextEvent = 0;
    ServiceCatalog m_catalog;
    SettingsDocument m_document;
    std::set<IndexVersion> m_dropped;
    std::set<BackendServerId> m_unresponsive;
    std::map<FailureDomain, SteadyTime> m_outOfServiceSince;
    /// Whether the last delivered report of each backend server said that it is cold.
    std::map<BackendServerId, bool> m_lastReportedCold;
    std::map<RequestId, Query> m_queries;
    unsigned m_nextQuery = 1;
    /// Number of primaries and of extra requests by second.
    std::map<std::int64_t, std::pair<unsigned, unsigned>> m_requestsBySecond;
    Findings m_findings;
    Coordinator m_coordinator;
};

} // namespace pimentoward::tests
