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

/// Decisions of one running query: which subrequests to send, hedge, retry and cancel, when it is
/// answered, and what the answer covers. Does no input or output; the caller carries its actions
/// out.
class ScatterGather
{
public:
    /// Send a subrequest to its backend server's owner.
    struct Send
    {
        SubrequestItem item;
        ReplicaChooser::Purpose purpose = ReplicaChooser::Purpose::Primary;
    };
    /// Withdraw a subrequest that is no longer needed.
    struct Cancel
    {
        SubrequestItem item;
    };
    /// Answer the caller; nothing follows.
    struct Finish
    {
        QueryAnswer answer;
    };
    using Action = std::variant<Send, Cancel, Finish>;
    using Actions = std::vector<Action>;

    /// Names the replica for a subrequest, none of those in `avoid`; nothing where there is none.
    using ChooseHook = std::function<std::optional<BackendServerId>(
        const Shard &, const std::vector<BackendServerId> &avoid, ReplicaChooser::Purpose,
        SteadyTime)>;
    /// Asked when no replica of a shard holds the pinned version any more: the plan on another
    /// version, or nothing where the query goes on without the shard.
    using OtherVersionHook = std::function<std::optional<QueryPlan>(const QueryPlan &)>;

    /// Each check may be switched off by tests that show what it prevents.
    struct Checks
    {
        /// A reply must name a subrequest of this query that still runs.
        bool identity = true;
        bool version = true;
        /// The body must be a whole JSON array.
        bool completeBody = true;
        /// The answer leaves at the deadline, whatever is missing.
        bool deadline = true;
        /// "Not run" is said only where nothing may have run.
        bool trueNotRun = true;
    };

    /// What the query uses besides its plan; outlives it.
    struct Environment
    {
        HedgePolicy &policy;
        ChooseHook choose;
        OtherVersionHook planOnOtherVersion;
        Checks checks;
    };

    ScatterGather(QueryPlan plan, const Environment &environment);

    /// The primary subrequests; called once. The caller counts those that have left by
    /// HedgePolicy::addPrimary().
    Actions start(SteadyTime now);
    /// Takes a reply. One that does not belong here, or comes twice, is discarded and counted.
    Actions onSubreply(Subreply reply, SteadyTime now);
    /// To be called at nextTimer().
    Actions onTimer(SteadyTime now);
    /// When onTimer() is next due: the earliest hedge, retry or deadline.
    SteadyTime nextTimer() const { return m_nextTimer; }
    bool isFinished() const { return m_finished; }
    /// What is pinned at present; another version after a restart.
    const QueryPlan &plan() const { return m_plan; }
    /// Replies that were discarded.
    std::uint64_t discardedReplies() const { return m_discarded; }
    /// How often the query began anew on another version.
    unsigned restarts() const { return m_restarts; }

private:
    using Purpose = ReplicaChooser::Purpose;

    /// A subrequest that has neither ended nor been cancelled.
    struct RunningSubrequest
    {
        SubrequestItem item;
        SteadyTime sentAt {};
    };
    /// What has become of one shard.
    struct ShardState
    {
        bool answered = false;
        /// No further attempt is made.
        bool givenUp = false;
        std::string body;
        std::vector<RunningSubrequest> inFlight;
        /// Replicas that failed in this round; a new round begins after a pause.
        std::vector<BackendServerId> failedReplicas;
        /// Replicas that lack the pinned version.
        std::vector<BackendServerId> replicasWithoutVersion;
        Reason lastFailure;
        std::optional<SteadyTime> hedgeAt;
        std::optional<SteadyTime> retryAt;
        unsigned failedRounds = 0;
    };

    void sendAll(Purpose purpose, SteadyTime now, Actions &actions);
    void send(std::size_t index, const BackendServerId &backendServer, Purpose purpose,
              SteadyTime now, Actions &actions);
    void hedge(std::size_t index, SteadyTime now, Actions &actions);
    void retry(std::size_t index, SteadyTime now, Actions &actions);
    bool isVersionLost(std::size_t index, SteadyTime now) const;
    void retryLater(ShardState &state, SteadyTime now);
    void onAnswered(ShardState &state, std::string body, SteadyTime now, Actions &actions);
    void onFailed(std::size_t index, const Subreply &reply, SteadyTime now, Actions &actions);
    void onVersionLost(std::size_t index, SteadyTime now, Actions &actions);
    void cancelAll(ShardState &state, SteadyTime now, Actions &actions);
    std::optional<std::size_t> shardOf(const Subreply &reply) const;
    bool isWellFormed(const Subreply &reply) const;
    bool allSettled() const;
    Actions finishOrSetTimer(Actions actions, SteadyTime now);
    void finish(SteadyTime now, Actions &actions);
    QueryAnswer buildAnswer(bool isStillRunning);
    Reason classifyOutcome(const QueryAnswer &answer, Reason failure, bool isStillRunning) const;

    QueryPlan m_plan;
    const Environment &m_environment;
    std::vector<ShardState> m_shards;
    /// Shard index by subrequest number, from m_firstNumber on.
    std::vector<std::size_t> m_shardOfNumber;
    std::uint32_t m_firstNumber = 1;
    std::uint32_t m_nextNumber = 1;
    std::uint64_t m_discarded = 0;
    unsigned m_restarts = 0;
    bool m_mayHaveRun = false;
    bool m_finished = false;
    SteadyTime m_nextTimer {};
};

} // namespace pimentoward
