#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/ControlView.h"
#include "Pimentoward/Request/Messages.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <set>

struct event_base;

namespace pimentoward {

/// The owner's role of a VM: holds the connections to the backend servers that it owns, carries
/// out what their dispatchers decide, and replies to coordinators.
class Owner
{
public:
    /// Sends a reply to the coordinator of its request.
    using ReplyHook = std::function<void(const MemberId &coordinator, const Subreply &)>;

    Owner(event_base *loop, const Clock &clock, ReplyHook reply);
    ~Owner();
    Owner(const Owner &) = delete;
    Owner &operator=(const Owner &) = delete;

    /// Takes the newest view: owned backend servers, their limits and who is out of service.
    void updateView(std::shared_ptr<const ControlView> view);
    /// Takes on the subrequests of a batch; each gets exactly one reply.
    void accept(const SubrequestBatch &batch);
    /// Withdraws subrequests.
    void cancel(const SubrequestCancel &cancel);
    /// Dispatched subrequests that have not ended.
    std::size_t inFlight() const;
    /// Backend servers at which work of this VM may still run.
    std::set<BackendServerId> busy() const;
    /// Each backend server's state, for the dump.
    nlohmann::json dump() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
