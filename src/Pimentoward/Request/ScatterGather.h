#pragma once

#include "Pimentoward/Request/Messages.h"
#include "Pimentoward/Request/QueryAnswer.h"
#include "Pimentoward/Request/QueryPlan.h"

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace pimentoward {

/// Decisions of one running query: which subrequests to send, when it is answered, and what the
/// answer covers. Does no input or output; the caller carries its actions out.
class ScatterGather
{
public:
    /// Send a subrequest to its backend server's owner.
    struct Send
    {
        SubrequestItem item;
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

    explicit ScatterGather(QueryPlan plan);

    /// The primary subrequests; called once.
    Actions start(SteadyTime now);
    /// Takes a reply. One that does not belong here, or comes twice, is discarded and counted.
    Actions onSubreply(const Subreply &reply, SteadyTime now);
    /// To be called at nextTimer().
    Actions onTimer(SteadyTime now);
    /// When onTimer() is next due.
    SteadyTime nextTimer() const { return m_plan.deadline; }
    bool isFinished() const { return m_finished; }
    /// Replies that were discarded.
    std::uint64_t discardedReplies() const { return m_discarded; }

private:
    /// What has become of one shard.
    struct ShardState
    {
        bool answered = false;
        std::string body;
        std::vector<SubrequestItem> inFlight;
        Reason lastFailure;
        std::size_t replicasTried = 0;
    };

    std::optional<SubrequestItem> nextReplica(std::size_t shardIndex);
    std::optional<std::size_t> shardOf(const Subreply &reply) const;
    bool isWellFormed(const Subreply &reply) const;
    bool allSettled() const;
    Actions finish();

    QueryPlan m_plan;
    std::vector<ShardState> m_shards;
    std::uint32_t m_nextNumber = 1;
    std::uint64_t m_discarded = 0;
    bool m_finished = false;
};

} // namespace pimentoward
