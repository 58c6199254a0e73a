#pragma once

#include "Pimentoward/Request/Messages.h"
#include "Pimentoward/Request/OrderRequest.h"
#include "Pimentoward/Version/ShardMap.h"

#include <variant>
#include <vector>

namespace pimentoward {

/// Everything that an order has pinned when it starts.
struct OrderPlan
{
    RequestId requestId;
    MemberId coordinator;
    OrderRequest request;
    /// The shard that the order goes to, its replicas in the order of preference.
    Shard shard;
    IndexVersion version = 0;
    SteadyTime deadline {};
};

/// What a caller is told of its order.
struct OrderAnswer
{
    RequestId requestId;
    Reason outcome;
    /// The backend server's JSON body, where there is one.
    std::string body;

    /// The JSON text for the caller.
    std::string toJson() const;
};

/// Decisions of one request that may run at most once: claim, dispatch once, settle, answer. Does
/// no input or output.
class Order
{
public:
    struct Settings
    {
        /// Off in tests only: dispatches without a claim.
        bool claimFirst = true;
        /// Off in tests only: tries another replica after an outcome that is not known.
        bool onlyRetryNotRun = true;
    };

    struct SendClaim
    {
        ClaimRequest request;
    };
    struct Send
    {
        SubrequestItem item;
    };
    struct Settle
    {
        ClaimSettlement settlement;
    };
    struct Finish
    {
        OrderAnswer answer;
    };
    using Action = std::variant<SendClaim, Send, Settle, Finish>;
    using Actions = std::vector<Action>;

    Order(OrderPlan plan, const Settings &settings);

    Actions start(SteadyTime now);
    Actions onClaimReply(const ClaimReply &reply, SteadyTime now);
    /// A reply that comes after the caller was told "may have run" still settles the claim.
    Actions onSubreply(const Subreply &reply, SteadyTime now);
    /// To be called at the plan's deadline.
    Actions onTimer(SteadyTime now);
    const OrderPlan &plan() const { return m_plan; }

private:
    enum class Phase { Claiming, Dispatched, Finished };

    Actions dispatchNext(const Reason &lastRefusal, SteadyTime now);
    Actions settleFromLateReply(const Subreply &reply);
    Actions finishWith(const Reason &outcome, const std::string &body);
    ClaimSettlement settlement(const Reason &outcome, const std::string &body) const;

    OrderPlan m_plan;
    Settings m_settings;
    Phase m_phase = Phase::Claiming;
    std::size_t m_nextReplica = 0;
    SubrequestItem m_inFlight;
    /// True once a subrequest has left and is not proved to have been refused.
    bool m_mayHaveRun = false;
};

} // namespace pimentoward
