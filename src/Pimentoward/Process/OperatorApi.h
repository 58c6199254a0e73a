#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Process/SettingsKeeperDriver.h"

#include <functional>
#include <string>

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
    };

    /// Adds its routes to `http`. All arguments must outlive the server's last request.
    OperatorApi(HttpServer &http, SettingsKeeperDriver &settings, Hooks hooks);

private:
    void addSettingsRoutes(HttpServer &http);
    void addProcessRoutes(HttpServer &http);
    void change(const HttpRequest &request, const HttpServer::Responder &respond);
    void history(const HttpRequest &request, const HttpServer::Responder &respond);
    void difference(const HttpRequest &request, const HttpServer::Responder &respond);

    SettingsKeeperDriver &m_settings;
    Hooks m_hooks;
};

} // namespace pimentoward
