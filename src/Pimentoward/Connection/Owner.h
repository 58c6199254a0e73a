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

/// Implements a VM's role as the owner of backend servers: holds the connections to them, executes
/// the decisions of their dispatchers, and replies to coordinators.
class Owner
{
public:
    /// Sends a reply to the coordinator of the request.
    using ReplyHook = std::function<void(const MemberId &coordinator, const Subreply &)>;

    Owner(event_base *loop, const Clock &clock, ReplyHook reply);
    ~Owner();
    Owner(const Owner &) = delete;
    Owner &operator=(const Owner &) = delete;

    /// Applies the newest view: the owned backend servers, their limits, and which of them are out
    /// of service.
    void updateView(std::shared_ptr<const ControlView> view);
    /// Accepts the subrequests of a batch. Each gets exactly one reply.
    void accept(const SubrequestBatch &batch);
    /// Cancels subrequests whose results are no longer needed.
    void cancel(const SubrequestCancel &cancel);
    /// Returns the number of dispatched subrequests that have not ended.
    std::size_t inFlight() const;
    /// Returns the backend servers that may still be running work of this VM.
    std::set<BackendServerId> busyBackendServers() const;
    /// Returns the state of each backend server, for the dump.
    nlohmann::json dump() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
