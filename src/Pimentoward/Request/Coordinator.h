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

/// The coordinator's role of a VM: runs callers' queries, one ScatterGather each.
class Coordinator
{
public:
    using AnswerHook = std::function<void(const QueryAnswer &)>;

    /// How the coordinator reaches owners; both return false where nothing has left this VM.
    struct Hooks
    {
        std::function<bool(const MemberId &owner, const SubrequestBatch &)> sendBatch;
        std::function<bool(const MemberId &owner, const SubrequestCancel &)> sendCancel;
    };

    /// Constants, and switches for tests that show what a mechanism prevents.
    struct Settings
    {
        CoordinatorService::Settings service;
        ReplicaChooser::Settings chooser;
    };

    /// `requestPrefix` makes request ids unique over all VMs and restarts. Without a `loop`, the
    /// caller runs onTimer() at nextTimer().
    Coordinator(event_base *loop, const Clock &clock, MemberId self, std::string requestPrefix,
                Hooks hooks);
    Coordinator(event_base *loop, const Clock &clock, MemberId self, std::string requestPrefix,
                Hooks hooks, const Settings &settings);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    void updateView(std::shared_ptr<const ControlView> view);
    /// Runs a query; the hook gets exactly one answer, possibly before this returns.
    void query(const CallerRequest &request, const AnswerHook &answer);
    /// Takes an owner's reply.
    void onSubreply(Subreply reply);
    /// Runs what is due: hedges, retries, answers at their deadlines.
    void onTimer();
    /// When onTimer() is next due; nothing while no query runs.
    std::optional<SteadyTime> nextTimer() const;
    /// Queries that have no answer yet.
    std::size_t running() const;
    /// Running queries and counters, for the dump.
    nlohmann::json dump() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
