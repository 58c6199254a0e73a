#pragma once

#include "Pimentoward/Connection/CallerServer.h"
#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Process/Task.h"
#include "Pimentoward/Request/Forwarder.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Where a ServingTask listens, and what it serves with.
struct ServingTaskSettings
{
    Address callerListen;
    Address readyListen;
    /// Path at `readyListen` that tells whether the VM takes callers.
    std::string readyPath;
    /// Metrics as text; not served where there is no address.
    std::optional<Address> metricsListen;
    std::string metricsPath = "/metrics";
    ForwarderSettings forwarder;
};

/// The task that serves callers: it owns their connections, those to backend servers, and all
/// running requests. Others reach it by its post functions, from any thread.
class ServingTask
{
public:
    explicit ServingTask(const ServingTaskSettings &settings);
    ~ServingTask();

    /// Binds all addresses; false with InvalidSetting in `reason` where that fails.
    bool listen(Reason &reason);
    void start() { m_task.start(); }
    void stop() { m_task.stop(); }

    void postRoutes(RouteTablePtr routes);
    void postBackends(BackendListPtr backends);
    void postMembers(std::vector<MemberId> members);
    void postSharedLimits(const SharedRetryBudget::Settings &retries,
                          const ColdLimit::Settings &cold);
    /// Not ready any more; each connection of a caller ends after its next reply.
    void postNotReady();
    /// Ends connections of callers on which no request runs.
    void postCloseIdle();
    /// Takes no connection any more and ends those on which no request runs, then runs `hook` on
    /// this task.
    void postStopAccepting(std::function<void()> hook);
    /// Runs `hook` on this task with the number of requests that have no answer yet.
    void postRunningCount(std::function<void(std::size_t)> hook);

private:
    HttpAnswer readyAnswer() const;
    void addGauges();
    CallerConnection::Hooks callerHooks();

    ServingTaskSettings m_settings;
    Task m_task {"serving"};
    Metrics m_metrics;
    Forwarder m_forwarder;
    CallerServer m_callers;
    HttpServer m_readyServer;
    HttpServer m_metricsServer;
    Timer m_metricsTimer;
    bool m_isStopping = false;
};

} // namespace pimentoward
