#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Process/SettingsSyncDriver.h"

#include <functional>
#include <string>
#include <vector>

namespace pimentoward {

/// The operators' HTTP interface of one VM, on its operator port: settings, history, metrics, log
/// level and health (docs/INTERFACES.md, "Operators"). It steers defaults and exceptions only;
/// nothing here touches a single request.
class OperatorApi
{
public:
    using TextHook = std::function<void(const std::string &)>;

    struct Hooks
    {
        /// Collects the Prometheus text of all tasks and passes it on, on the server's loop.
        std::function<void(TextHook)> metrics;
        /// True where the VM takes new work.
        std::function<bool()> isReady;
        /// Names of the services or failure domains that are known; an exception for another one is
        /// refused. An empty list refuses none.
        std::function<std::vector<std::string>(ExceptionScope)> knownTargets;
    };

    /// Adds its routes to `http` and its metrics to `metrics`, which belong to the same task. All
    /// arguments must outlive the server's last request.
    OperatorApi(HttpServer &http, SettingsSyncDriver &settings, const Clock &clock,
                Metrics &metrics, Hooks hooks);

private:
    void addSettingsRoutes(HttpServer &http);
    void addProcessRoutes(HttpServer &http);
    void addMetrics();
    bool checkTarget(const SettingsChange &change, Reason &reason) const;
    void count(const Reason &outcome, SteadyTime begunAt);
    void change(const HttpRequest &request, const HttpServer::Responder &respond);
    void history(const HttpRequest &request, const HttpServer::Responder &respond);
    void difference(const HttpRequest &request, const HttpServer::Responder &respond);

    SettingsSyncDriver &m_settings;
    const Clock &m_clock;
    Metrics &m_metrics;
    Hooks m_hooks;
};

} // namespace pimentoward
