#pragma once

#include "Pimentoward/Request/Messages.h"
#include "Pimentoward/Request/OrderRequest.h"
#include "Pimentoward/Version/ShardMap.h"

#include <variant>
#include <vector>

namespace pimentoward {

/// The values that an order pins when it starts.
struct OrderPlan
{
    RequestId requestId;
    MemberId coordinator;
    OrderRequest request;
    /// The shard that the order is sent to, with its replicas in order of preference.
    Shard shard;
    IndexVersion version = 0;
    /// Time at which the caller is answered at the latest.
    SteadyTime deadline {};
};

/// The answer to a caller's order.
struct OrderAnswer
{
    RequestId requestId;
    Reason outcome;
    /// The JSON body from the backend server. Empty if there is none.
    std::string body;

    /// Returns the JSON text for the caller.
    std::string toJson() const;
};

/// Makes the decisions of one request that may run at most once: claim its idempotency key,
/// dispatch the request, settle the claim and answer the caller. Performs no I/O: its functions
/// return actions, which the OrderCoordinator carries out.
class Order
{
public:
    /// Switches that only tests change, to show which failure each rule prevents.
    struct Settings
    {
        /// Claims the idempotency key before the request is dispatched. Without it a repeated order
        /// can run twice.
        bool claimFirst = true;
        /// Tries another replica only if the last one did not run the request. Without it a request
        /// whose outcome is unknown can run twice.
        bool onlyRetryNotRun = true;
    };

    /// Send a claim to the owner of its claim bucket.
    struct SendClaim
    {
        ClaimRequest request;
    };
    /// Send the subrequest to the owner of its backend server.
    struct Send
    {
        SubrequestItem item;
    };
    /// Send a settlement to the owner of the claim bucket until it is committed.
    struct Settle
    {
        ClaimSettlement settlement;
    };
    /// Answer the caller.
    struct Finish
    {
        OrderAnswer answer;
    };
    using Action = std::variant<SendClaim, Send, Settle, Finish>;
    using Actions = std::vector<Action>;

    Order(OrderPlan plan, const Settings &settings);

    /// Starts the order with its claim. Must be called once.
    Actions start(SteadyTime now);
    /// Dispatches the request if the claim is granted, otherwise answers the caller.
    Actions onClaimReply(const ClaimReply &reply, SteadyTime now);
    /// Processes a reply to the subrequest. A reply that arrives after the caller was answered with
    /// MayHaveRun can still settle the claim.
    Actions onSubreply(const Subreply &reply, SteadyTime now);
    /// Answers the caller if the deadline has passed. Must be called at the plan's deadline.
    Actions onTimer(SteadyTime now);
    /// The values that the order has pinned.
    const OrderPlan &plan() const { return m_plan; }

private:
    enum class Phase { Claiming, Dispatched, Finished };

    /// Sends the request to the next replica, or finishes if there is none or the deadline has
    /// passed.
    Actions dispatchNext(const Reason &lastRefusal, SteadyTime now);
    /// Settles the claim from a reply that arrived after the caller was answered.
    Actions settleFromLateReply(const Subreply &reply);
    /// Answers the caller, and settles the claim unless the outcome is unknown.
    Actions finishWith(const Reason &outcome, const std::string &body);
    ClaimSettlement settlement(const Reason &outcome, const std::string &body) const;

    OrderPlan m_plan;
    Settings m_settings;
    Phase m_phase = Phase::Claiming;
    std::size_t m_nextReplica = 0;
    SubrequestItem m_inFlight;
    /// True while a subrequest has been sent and neither its outcome nor a refusal is known.
    bool m_mayHaveRun = false;
};

} // namespace pimentoward
