#pragma once

#include "Pimentoward/Connection/CallerServer.h"
#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Discovery/DiscoveredRecords.h"
#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Process/Task.h"
#include "Pimentoward/Request/Forwarder.h"
#include "Pimentoward/Sharing/VmSharing.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Addresses and settings of a ServingTask.
struct ServingTaskSettings
{
    Address callerListen;
    Address readyListen;
    /// HTTP path at `readyListen` that tells whether the VM accepts requests of callers.
    std::string readyPath;
    /// Address at which metrics are served as text. Without an address they are not served.
    std::optional<Address> metricsListen;
    std::string metricsPath = "/metrics";
    /// Limits of all callers together.
    CallerBudget::Settings callerBudget;
    ForwarderSettings forwarder;
    VmSharingSettings sharing;
};

/// The task of a TierProcess that serves callers. It owns the connections of callers, the
/// connections to backend servers and all running requests. Its post functions may be called from
/// any thread and take effect on the task.
class ServingTask
{
public:
    explicit ServingTask(const ServingTaskSettings &settings);
    ~ServingTask();

    /// Binds all addresses. On failure returns false and sets `reason` to InvalidSetting.
    bool listen(Reason &reason);
    void start() { m_task.start(); }
    void stop() { m_task.stop(); }
    /// Reports the requests that have no answer. Must be called after stop().
    void reportCutRequests() { m_forwarder.reportCutRequests(); }

    /// Replaces the routes, and applies the table's limits to callers' new connections.
    void postRoutes(RouteTablePtr routes);
    /// Replaces the list of backend servers.
    void postBackends(BackendListPtr backends);
    /// Replaces the list of the tier's VMs.
    void postMembers(std::vector<MemberId> members);
    /// Replaces the list of the VMs whose records are in the store, or confirms it.
    void postVms(const VmView &view);
    /// Tells whether the records of backend servers may be outdated, as they are until this
    /// function is called.
    void postRecordsOutdated(bool areOutdated);
    /// Counts records of the store that cannot be used.
    void postUnusableRecords(RecordKind kind, std::size_t count);
    /// Sets who decides which requests of workspaces may run within their rate limits; see
    /// Forwarder::changeAdmission().
    void postAdmission(RequestAdmission *admission);
    /// Replaces the roll-outs.
    void postRollouts(RolloutTablePtr rollouts);
    /// Sets the hook that receives this VM's reports on roll-outs, on this task. Must be called
    /// before start().
    void setRolloutReportHook(std::function<void(std::vector<RolloutReport>)> hook);
    /// Runs `hook` on this task.
    void postCall(std::function<void()> hook) { m_task.post(std::move(hook)); }
    /// Changes the limits that all VMs share: the retry budget and the limit of cold backend
    /// servers.
    void postSharedLimits(const SharedRetryBudget::Settings &retries,
                          const ColdLimit::Settings &cold);
    /// Turns readiness off. Each connection of a caller is closed after its next reply. All
    /// requests are answered by `lastAnswerAt`; new ones that cannot be are refused.
    void postNotReady(SteadyTime lastAnswerAt);
    /// Closes the connections of callers on which no request is running or being received.
    void postCloseIdle();
    /// Stops accepting connections and closes those on which no request is running or being
    /// received, then runs `hook` on this task.
    void postStopAccepting(std::function<void()> hook);
    /// Runs `hook` on this task with the number of requests that have not been answered yet.
    void postRunningCount(std::function<void(std::size_t)> hook);

private:
    void reportRollouts();
    HttpAnswer readyAnswer() const;
    void addGauges();
    CallerConnection::Hooks connectionHooks();
    CallerServer::Hooks callerHooks();
    void reportGaveWay(const CallerBudget::Choice &choice);

    ServingTaskSettings m_settings;
    Task m_task {"serving"};
    Metrics m_metrics;
    VmSharing m_sharing;
    Forwarder m_forwarder;
    CallerServer m_callers;
    HttpServer m_readyServer;
    HttpServer m_metricsServer;
    Timer m_metricsTimer;
    Timer m_rolloutTimer;
    std::function<void(std::vector<RolloutReport>)> m_onRolloutReports;
    bool m_isStopping = false;
};

} // namespace pimentoward
