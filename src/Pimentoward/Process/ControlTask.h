#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/ControlView.h"
#include "Pimentoward/Process/MembershipSettings.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <set>

namespace pimentoward {

/// Settings of the control task.
struct ControlTaskSettings
{
    Member self;
    Address platform;
    std::chrono::milliseconds storeCallTimeout {1000};
    Address operatorListen;
    Address peerListen;
    MembershipSettings membership;
};

/// The task that keeps a VM in step with the others: platform store, VM list, membership,
/// ownership and settings. It publishes a ControlView with each change.
class ControlTask
{
public:
    using ViewHook = std::function<void(std::shared_ptr<const ControlView>)>;
    using DumpHook = std::function<void(const nlohmann::json &)>;
    /// Asks the query task for its state; the hook may run on any thread.
    using QueryDumpHook = std::function<void(DumpHook)>;
    /// Takes the query task's newest view and the backend servers where work may still run.
    using BusyReportHook
        = std::function<void(std::uint64_t sequence, const std::set<BackendServerId> &busy)>;

    /// How the control task reaches the query task.
    struct Hooks
    {
        /// Runs on the control task.
        ViewHook publish;
        QueryDumpHook queryDump;
        /// Asks where work may still run; the hook may run on any thread.
        std::function<void(BusyReportHook)> queryBusyReport;
    };

    ControlTask(const ControlTaskSettings &settings, const Clock &clock, Hooks hooks);
    ~ControlTask();
    ControlTask(const ControlTask &) = delete;
    ControlTask &operator=(const ControlTask &) = delete;

    /// Binds its addresses; to be called before start().
    bool listen(Reason &reason);
    void start();
    void stop();
    /// Starts to leave: takes no new caller requests, tells the others and hands over all that it
    /// owns. `done` runs on the control task once nothing is owned. From any thread.
    void postLeave(std::function<void()> done);
    /// Collects the whole process's state and passes it to `hook`. From any thread.
    void postDump(DumpHook hook);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
