#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Process/SettingsSyncDriver.h"

#include <functional>
#include <string>
#include <vector>

namespace pimentoward {

/// The operators' HTTP interface of one VM, on its operator port: settings, history, metrics, log
/// level and health (docs/INTERFACES.md, "Operators"). Settings changes apply to defaults and
/// exceptions only; no function of this interface acts on individual requests.
class OperatorApi
{
public:
    using TextHook = std::function<void(const std::string &)>;

    struct Hooks
    {
        /// Collects the Prometheus text of all tasks and passes it to the TextHook, which runs on
        /// the server's loop.
        std::function<void(TextHook)> metrics;
        /// Returns whether the VM accepts new work.
        std::function<bool()> isReady;
        /// Returns the names of the known services or failure domains. Exceptions for other
        /// names are refused, except when the list is empty.
        std::function<std::vector<std::string>(ExceptionScope)> knownTargets;
    };

    /// Adds the routes of this interface to `http` and its metrics to `metrics`; both must belong
    /// to the same task. All arguments must outlive the server's last request.
    OperatorApi(HttpServer &http, SettingsSyncDriver &settings, const Clock &clock,
                Metrics &metrics, Hooks hooks);

private:
    void addSettingsRoutes(HttpServer &http);
    void addProcessRoutes(HttpServer &http);
    void addMetrics();
    bool checkTarget(const SettingsChange &change, Reason &reason) const;
    void recordOutcome(const Reason &outcome, SteadyTime startedAt);
    void change(const HttpRequest &request, const HttpServer::Responder &respond);
    void history(const HttpRequest &request, const HttpServer::Responder &respond);
    void difference(const HttpRequest &request, const HttpServer::Responder &respond);

    SettingsSyncDriver &m_settings;
    const Clock &m_clock;
    Metrics &m_metrics;
    Hooks m_hooks;
};

} // namespace pimentoward
