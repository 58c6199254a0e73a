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

/// Runs callers' orders on the VM that they came to, one Order each, and repeats settlements until
/// the claim's bucket has committed them.
class OrderCoordinator
{
public:
    using AnswerHook = std::function<void(const OrderAnswer &)>;

    /// How other parts are reached; each returns false where nothing has left this VM.
    struct Hooks
    {
        std::function<bool(const MemberId &owner, const SubrequestBatch &)> sendBatch;
        std::function<bool(const MemberId &bucketOwner, const PeerMessage &)> sendClaimMessage;
    };

    /// `requestPrefix` makes request ids unique over all VMs and restarts.
    OrderCoordinator(event_base *loop, const Clock &clock, MemberId self, std::string requestPrefix,
                     Hooks hooks);
    ~OrderCoordinator();
    OrderCoordinator(const OrderCoordinator &) = delete;
    OrderCoordinator &operator=(const OrderCoordinator &) = delete;

    void updateView(std::shared_ptr<const ControlView> view);
    /// Runs an order; the hook gets exactly one answer, possibly before this returns.
    void order(const OrderRequest &request, AnswerHook answer);
    void onClaimReply(const ClaimReply &reply);
    void onSettled(const ClaimSettled &settled);
    /// True where the reply belongs to an order of this VM.
    bool onSubreply(const Subreply &reply);
    /// Orders without an answer and settlements that are not committed.
    std::size_t running() const;
    nlohmann::json dump() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
