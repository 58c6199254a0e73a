#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/ControlView.h"
#include "Pimentoward/Request/Messages.h"
#include "Pimentoward/Request/Order.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>

struct event_base;

namespace pimentoward {

/// Runs the orders that callers send to this VM, each with its own Order, and repeats settlements
/// until the owner of the claim bucket has committed them.
class OrderCoordinator
{
public:
    /// Receives the answer to an order.
    using AnswerHook = std::function<void(const OrderAnswer &)>;

    /// Functions that send messages to the owners of backend servers and of claim buckets. Both
    /// return false if nothing was sent.
    struct Hooks
    {
        std::function<bool(const MemberId &owner, const SubrequestBatch &)> sendBatch;
        std::function<bool(const MemberId &bucketOwner, const PeerMessage &)> sendClaimMessage;
    };

    /// `requestPrefix` makes request IDs unique across all VMs and restarts.
    OrderCoordinator(event_base *loop, const Clock &clock, MemberId self, std::string requestPrefix,
                     Hooks hooks);
    ~OrderCoordinator();
    OrderCoordinator(const OrderCoordinator &) = delete;
    OrderCoordinator &operator=(const OrderCoordinator &) = delete;

    /// Applies a new control view. Running orders keep their plans, but use its owners and members.
    void updateView(std::shared_ptr<const ControlView> view);
    /// Runs an order. The hook receives exactly one answer, possibly before this function returns.
    void order(const OrderRequest &request, AnswerHook answer);
    /// Processes the reply to a claim.
    void onClaimReply(const ClaimReply &reply);
    /// Stops the repetition of a settlement that is committed.
    void onSettled(const ClaimSettled &settled);
    /// Processes a reply to a subrequest. Returns false if it belongs to no order of this VM.
    bool onSubreply(const Subreply &reply);
    /// Number of orders that are not answered and of settlements that are not committed.
    std::size_t running() const;
    /// Returns the counters for the state dump.
    nlohmann::json dump() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
