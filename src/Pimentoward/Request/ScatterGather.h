#pragma once

#include "Pimentoward/Request/HedgePolicy.h"
#include "Pimentoward/Request/Messages.h"
#include "Pimentoward/Request/QueryAnswer.h"
#include "Pimentoward/Request/QueryPlan.h"
#include "Pimentoward/Request/ReplicaChooser.h"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace pimentoward {

/// Makes the decisions of one running query: which subrequests to send, hedge, retry and cancel,
/// when to answer, and what the answer covers. Performs no I/O: its functions return actions, which
/// the Coordinator carries out.
class ScatterGather
{
public:
    /// Send a subrequest to its backend server's owner.
    struct Send
    {
        SubrequestItem item;
        ReplicaChooser::Purpose purpose = ReplicaChooser::Purpose::Primary;
    };
    /// Cancel a subrequest that is no longer needed.
    struct Cancel
    {
        SubrequestItem item;
    };
    /// Answer the caller. This is the last action of a query.
    struct Finish
    {
        QueryAnswer answer;
    };
    using Action = std::variant<Send, Cancel, Finish>;
    using Actions = std::vector<Action>;

    /// Chooses a replica that is not in `avoid`. Returns nothing if there is none.
    using ChooseHook = std::function<std::optional<BackendServerId>(
        const Shard &, const std::vector<BackendServerId> &avoid, ReplicaChooser::Purpose,
        SteadyTime)>;
    /// Called when no replica of a shard has the pinned index version any more. Returns the plan on
    /// another version, or nothing if the query must continue without the shard.
    using OtherVersionHook = std::function<std::optional<QueryPlan>(const QueryPlan &)>;

    /// Checks that only tests switch off, to show which failure each of them prevents.
    struct Checks
    {
        /// Accepts a reply only if it belongs to a subrequest of this query that is in flight.
        /// Without it an answer can hold records of another request, or those of a shard twice.
        bool identity = true;
        /// Accepts a reply only if it is of the pinned index version. Without it an answer can mix
        /// versions.
        bool version = true;
        /// Accepts a reply only if its body is a complete JSON array. Without it a truncated body
        /// can enter the answer.
        bool completeBody = true;
        /// Answers at QueryPlan::answerBy() even if shards are missing.
        bool deadline = true;
        /// Gives a "not run" result code only if no subrequest of the query may have run.
        bool trueNotRun = true;
    };

    /// The hedge policy, hooks and checks that a query uses. Must outlive the query.
    struct Environment
    {
        HedgePolicy &policy;
        ChooseHook choose;
        OtherVersionHook planOnOtherVersion;
        Checks checks;
    };

    ScatterGather(QueryPlan plan, const Environment &environment);

    /// Starts the query with its primary subrequests. Must be called once. The Coordinator calls
    /// HedgePolicy::addPrimary() for each of them that was sent.
    Actions start(SteadyTime now);
    /// Processes a reply. A reply that fails a check, or arrives twice, is discarded and counted.
    Actions onSubreply(Subreply reply, SteadyTime now);
    /// Sends hedges and retries that are due, or answers. Must be called at nextTimer().
    Actions onTimer(SteadyTime now);
    /// Time at which onTimer() is next due: the earliest hedge, retry or answer.
    SteadyTime nextTimer() const { return m_nextTimer; }
    /// True once the query has been answered.
    bool isFinished() const { return m_finished; }
    /// The current plan, which a restart replaces by one on another version.
    const QueryPlan &plan() const { return m_plan; }
    /// Number of replies that were discarded.
    std::uint64_t discardedReplies() const { return m_discarded; }
    /// Number of times that the query was restarted on another version.
    unsigned restarts() const { return m_restarts; }

private:
    using Purpose = ReplicaChooser::Purpose;

    /// A subrequest that has neither ended nor been cancelled.
    struct RunningSubrequest
    {
        SubrequestItem item;
        SteadyTime sentAt {};
    };
    /// The progress of one shard.
    struct ShardState
    {
        bool answered = false;
        /// True once no further subrequest is sent for the shard.
        bool givenUp = false;
        /// The JSON array of its records, once it has answered.
        std::string body;
        std::vector<RunningSubrequest> inFlight;
        /// Replicas that failed in this round, which are not tried again in it. The next round
        /// begins after a backoff.
        std::vector<BackendServerId> failedReplicas;
        /// Replicas that do not have the pinned version any more.
        std::vector<BackendServerId> replicasWithoutVersion;
        Reason lastFailure;
        /// When the next hedge is due, if any.
        std::optional<SteadyTime> hedgeAt;
        /// When the next round of retries begins, if one is planned.
        std::optional<SteadyTime> retryAt;
        /// Number of rounds that ended without an answer.
        unsigned failedRounds = 0;
    };

    /// Sends one subrequest for each shard.
    void sendAll(Purpose purpose, SteadyTime now, Actions &actions);
    void send(std::size_t index, const BackendServerId &backendServer, Purpose purpose,
              SteadyTime now, Actions &actions);
    void hedge(std::size_t index, SteadyTime now, Actions &actions);
    void retry(std::size_t index, SteadyTime now, Actions &actions);
    /// True if no replica of the shard is left with the pinned version.
    bool isVersionUnavailable(std::size_t index, SteadyTime now) const;
    /// Plans the next round of retries, or gives the shard up.
    void retryLater(ShardState &state, SteadyTime now);
    void onAnswered(ShardState &state, std::string body, SteadyTime now, Actions &actions);
    void onFailed(std::size_t index, const Subreply &reply, SteadyTime now, Actions &actions);
    /// Restarts the query on another version, or gives the shard up.
    void onVersionUnavailable(std::size_t index, SteadyTime now, Actions &actions);
    void cancelAll(ShardState &state, SteadyTime now, Actions &actions);
    /// Index of the shard that a reply is for. Nothing if the reply does not belong to the query.
    std::optional<std::size_t> shardOf(const Subreply &reply) const;
    bool isWellFormed(const Subreply &reply) const;
    /// True once each shard has answered or is given up.
    bool areAllShardsDone() const;
    /// Answers if each shard has answered or is given up. Otherwise computes nextTimer().
    Actions finishOrSetTimer(Actions actions, SteadyTime now);
    void finish(SteadyTime now, Actions &actions);
    QueryAnswer buildAnswer(bool hasInFlight);
    /// Result of the query. `failure` is the last failure of a missing shard; `hasInFlight` is true
    /// if a subrequest was still in flight when the query ended.
    Reason classifyOutcome(const QueryAnswer &answer, Reason failure, bool hasInFlight) const;

    QueryPlan m_plan;
    const Environment &m_environment;
    std::vector<ShardState> m_shards;
    /// Index of the shard for each subrequest number, starting at m_firstNumber.
    std::vector<std::size_t> m_shardOfNumber;
    /// Number of the first subrequest since the start or the last restart.
    std::uint32_t m_firstNumber = 1;
    std::uint32_t m_nextNumber = 1;
    std::uint64_t m_discarded = 0;
    unsigned m_restarts = 0;
    /// True once a backend server may have run a subrequest of this query.
    bool m_mayHaveRun = false;
    bool m_finished = false;
    SteadyTime m_nextTimer {};
};

} // namespace pimentoward
