#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/ControlView.h"
#include "Pimentoward/Request/CallerRequest.h"
#include "Pimentoward/Request/CoordinatorService.h"
#include "Pimentoward/Request/Messages.h"
#include "Pimentoward/Request/QueryAnswer.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>

struct event_base;

namespace pimentoward {

/// Runs the queries that callers send to this VM, each with its own ScatterGather.
class Coordinator
{
public:
    /// Receives the answer to a query.
    using AnswerHook = std::function<void(const QueryAnswer &)>;

    /// Functions that send messages to the owners of backend servers. Both return false if nothing
    /// was sent.
    struct Hooks
    {
        std::function<bool(const MemberId &owner, const SubrequestBatch &)> sendBatch;
        std::function<bool(const MemberId &owner, const SubrequestCancel &)> sendCancel;
    };

    /// Constants, and switches that only tests change, to show which failure a mechanism prevents.
    struct Settings
    {
        CoordinatorService::Settings service;
        ReplicaChooser::Settings chooser;
    };

    /// `requestPrefix` makes request IDs unique across all VMs and restarts. If `loop` is null, the
    /// user of this class must call onTimer() at nextTimer().
    Coordinator(event_base *loop, const Clock &clock, MemberId self, std::string requestPrefix,
                Hooks hooks);
    Coordinator(event_base *loop, const Clock &clock, MemberId self, std::string requestPrefix,
                Hooks hooks, const Settings &settings);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// Applies a new control view. Running queries keep their plans, but use its owners and the
    /// status of its backend servers.
    void updateView(std::shared_ptr<const ControlView> view);
    /// Runs a query. The hook receives exactly one answer, possibly before this function returns.
    void query(const CallerRequest &request, const AnswerHook &answer);
    /// Processes a reply from an owner.
    void onSubreply(Subreply reply);
    /// Sends the hedges and retries that are due, and answers queries whose time is up.
    void onTimer();
    /// Time at which onTimer() is next due. Nothing while no query is running.
    std::optional<SteadyTime> nextTimer() const;
    /// Number of queries that have not been answered yet.
    std::size_t running() const;
    /// Returns the running queries and the counters for the state dump.
    nlohmann::json dump() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
