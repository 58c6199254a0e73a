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
    /// Prefix of the request IDs; unique for each run of the process.
    std::string requestPrefix;
    Address callerListen;
    Address peerListen;
    HttpServerSettings http;
    /// Address of the platform's store, which holds the claims of requests that must not be
    /// repeated.
    Address platform;
    std::chrono::milliseconds storeCallTimeout {1000};
};

/// The task of pimentod that serves callers. It runs the coordinators, the owner, the peer links
/// and the backend connections on one loop.
class QueryTask
{
public:
    using DumpHook = std::function<void(const nlohmann::json &)>;
    /// Receives the sequence number of the view in use (0 before the first one) and the backend
    /// servers at which work of this VM may still run.
    using BusyReportHook
        = std::function<void(std::uint64_t sequence, const std::set<BackendServerId> &busy)>;

    QueryTask(const QueryTaskSettings &settings, const Clock &clock);
    ~QueryTask();
    QueryTask(const QueryTask &) = delete;
    QueryTask &operator=(const QueryTask &) = delete;

    /// Binds the caller and peer addresses. Must be called before start().
    bool listen(Reason &reason);
    void start();
    /// Ends the loop and joins the thread.
    void stop();
    /// Passes a newer view to the task. May be called from any thread.
    void postView(std::shared_ptr<const ControlView> view);
    /// Makes /health/ready answer "not ready" from now on. Requests are still accepted. May be
    /// called from any thread.
    void postNotReady();
    /// Passes a busy report to `hook`, which runs on the task. May be called from any thread.
    void postBusyReport(BusyReportHook hook);
    /// Counts the work that runs on this VM and passes the number to `hook`, which runs on the
    /// task. May be called from any thread.
    void postRunningCount(std::function<void(std::size_t)> hook);
    /// Collects the state of the task and passes it to `hook`, which runs on the task. May be
    /// called from any thread.
    void postDump(DumpHook hook);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
