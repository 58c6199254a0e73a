#pragma once

#include "Pimentoward/Connection/HttpServerSettings.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/ControlView.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <set>

namespace pimentoward {

/// Settings of the query task.
struct QueryTaskSettings
{
    MemberId self;
    /// Unique per run of the process.
    std::string requestPrefix;
    Address callerListen;
    Address peerListen;
    HttpServerSettings http;
    /// The store that holds claims of requests that may not be repeated.
    Address platform;
    std::chrono::milliseconds storeCallTimeout {1000};
};

/// The task that serves callers: coordinator, owner, their peer links and backend connections, all
/// on one loop.
class QueryTask
{
public:
    using DumpHook = std::function<void(const nlohmann::json &)>;
    /// The sequence of the newest view taken, and where work of this VM may still run.
    using BusyReportHook
        = std::function<void(std::uint64_t sequence, const std::set<BackendServerId> &busy)>;

    QueryTask(const QueryTaskSettings &settings, const Clock &clock);
    ~QueryTask();
    QueryTask(const QueryTask &) = delete;
    QueryTask &operator=(const QueryTask &) = delete;

    /// Binds both addresses; to be called before start().
    bool listen(Reason &reason);
    void start();
    /// Ends the loop and joins the thread.
    void stop();
    /// Hands over a newer view. From any thread.
    void postView(std::shared_ptr<const ControlView> view);
    /// /health/ready answers "not ready" from now on; requests are still taken. From any thread.
    void postNotReady();
    /// Reports to `hook`, which runs on the task. From any thread.
    void postBusyReport(BusyReportHook hook);
    /// Counts the work that runs on this VM and passes it to `hook`, which runs on the task. From
    /// any thread.
    void postRunningCount(std::function<void(std::size_t)> hook);
    /// Collects the state on the task and passes it to `hook`, which runs on the task. From any
    /// thread.
    void postDump(DumpHook hook);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
