#include "Pimentoward/Process/OperatorApi.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr Revision defaultHistoryLimit = 100; // records

HttpAnswer jsonAnswer(const Json &body, int status = statusOk)
{
    constexpr int indent = 2;
    constexpr auto replaceInvalidText = Json::error_handler_t::replace;
    return {
        status, body.dump(indent, ' ', false, replaceInvalidText) + "\n", "application/json", {}};
}

HttpAnswer textAnswer(int status, const std::string &text)
{
    return {status, text + "\n", "text/plain", {}};
}

/// Reads a whole number from a query parameter. Returns `defaultValue` if the parameter is absent
/// and there is a default. On failure returns nothing and sets `reason`.
std::optional<Revision> numberParameter(const HttpRequest &request, const std::string &name,
                                        std::optional<Revision> defaultValue, Reason &reason)
{
    const std::string text = request.parameter(name);
    if (text.empty() && defaultValue) {
        return defaultValue;
    }
    Revision number = 0;
    const auto [last, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || last != text.data() + text.size()) {
        reason = {ResultCode::MissingField,
                  "the parameter '" + name + "' must be a whole number, but it is '" + text + "'"};
        return std::nullopt;
    }
    return number;
}

/// Returns every setting with the value in force, the origin of the value and the exceptions.
Json effectiveTable(const SettingsDocument &document)
{
    Json table = Json::array();
    for (const SettingSpec &spec : operatorSettingsTable()) {
        Json exceptions = Json::array();
        for (const SettingsException &exception : document.exceptions) {
            if (exception.setting == spec.name) {
                exceptions.push_back({{"scope", exceptionScopeName(exception.scope)},
                                      {"target", exception.target},
                                      {"value", exception.value},
                                      {"reason", exception.reason}});
            }
        }
        const bool isChanged = document.defaults.count(spec.name) > 0;
        table.push_back({{"setting", spec.name},
                         {"value", document.value(spec.name)},
                         {"origin", isChanged ? "operators" : "built-in"},
                         {"allowed", SettingsReader::allowedValues(spec)},
                         {"exceptions", std::move(exceptions)}});
    }
    return table;
}

Json changeBody(const Reason &outcome, Revision revision)
{
    const ResultCodeInfo &info = resultCodeInfo(outcome.code);
    const bool isAccepted = outcome.code == ResultCode::Ok;
    return {{"code", static_cast<int>(outcome.code)},
            {"result", isAccepted ? "accepted" : std::string(info.name)},
            {"reason", isAccepted ? "in force on every VM that serves" : outcome.text},
            {"revision", revision}};
}

} // namespace

OperatorApi::OperatorApi(HttpServer &http, SettingsSyncDriver &settings, const Clock &clock,
                         Metrics &metrics, Hooks hooks)
    : m_settings(settings)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
    addSettingsRoutes(http);
    addProcessRoutes(http);
    addMetrics();
}

void OperatorApi::addMetrics()
{
    m_metrics.gauge("pimentoward_settings_revision", "Revision of the settings in force.",
                    [this] { return static_cast<double>(m_settings.document()->revision); });
    m_metrics.gauge("pimentoward_settings_ready",
                    "1 where this VM holds the newest settings that it must hold to serve.",
                    [this] { return m_settings.mayServe() ? 1.0 : 0.0; });
    m_metrics.gauge("pimentoward_settings_watcher", "1 where this VM watches the store.",
                    [this] { return m_settings.isWatcher() ? 1.0 : 0.0; });
    m_metrics.gauge("pimentoward_settings_history_waiting",
                    "Changes not yet known to be in the stored history.",
                    [this] { return static_cast<double>(m_settings.waitingRecords()); });
}

void OperatorApi::recordOutcome(const Reason &outcome, SteadyTime startedAt)
{
    const Metrics::Labels labels {{"result", std::string(resultCodeInfo(outcome.code).name)}};
    m_metrics
        .counter("pimentoward_settings_changes_total", "Changes that ended, by result.", labels)
        .add();
    m_metrics
        .distribution("pimentoward_settings_change_seconds",
                      "Time from an operator's change to its answer.")
        .record(m_clock.now() - startedAt);
}

/// Refuses changes whose target is unknown. Without this check, taking a mistyped failure domain
/// out of service would be accepted but have no effect.
bool OperatorApi::checkTarget(const SettingsChange &change, Reason &reason) const
{
    const bool addsException = change.kind == SettingsChangeKind::AddException;
    if (!addsException && change.kind != SettingsChangeKind::TakeDomainOut) {
        return true;
    }
    const ExceptionScope scope = addsException ? change.scope : ExceptionScope::OneFailureDomain;
    const std::vector<std::string> known = m_hooks.knownTargets(scope);
    if (known.empty() || std::find(known.begin(), known.end(), change.target) != known.end()) {
        return true;
    }
    std::string names;
    for (const std::string &name : known) {
        names += (names.empty() ? "" : ", ") + name;
    }
    reason = {ResultCode::InvalidSetting,
              "there is no " + std::string(exceptionScopeName(scope)) + " '" + change.target
                  + "'; known: " + names};
    return false;
}

void OperatorApi::addSettingsRoutes(HttpServer &http)
{
    http.route("GET", "/settings", [this](const HttpRequest &, const auto &respond) {
        const SettingsDocument &document = *m_settings.document();
        respond(jsonAnswer({{"revision", document.revision},
                            {"ready", m_settings.isReady()},
                            {"problem", m_settings.problem().text},
                            {"document", Json::parse(document.toJson())},
                            {"effective", effectiveTable(document)}}));
    });
    http.route("POST", "/settings", [this](const HttpRequest &request, const auto &respond) {
        change(request, respond);
    });
    http.route("GET", "/settings/history", [this](const HttpRequest &request, const auto &respond) {
        history(request, respond);
    });
    http.route("GET", "/settings/diff", [this](const HttpRequest &request, const auto &respond) {
        difference(request, respond);
    });
}

void OperatorApi::addProcessRoutes(HttpServer &http)
{
    http.route("GET", "/metrics", [this](const HttpRequest &, const auto &respond) {
        m_hooks.metrics([respond](const std::string &text) {
            respond({statusOk, text, "text/plain; version=0.0.4", {}});
        });
    });
    http.route("GET", "/log-level", [](const HttpRequest &, const auto &respond) {
        const auto level = log4cplus::Logger::getRoot().getLogLevel();
        respond(textAnswer(statusOk, log4cplus::getLogLevelManager().toString(level)));
    });
    http.route("PUT", "/log-level", [](const HttpRequest &request, const auto &respond) {
        const std::string level = request.body.substr(0, request.body.find_first_of("\r\n"));
        if (Log::changeLevel(level)) {
            respond(textAnswer(statusOk, level));
            return;
        }
        respond(HttpServer::errorAnswer(
            {ResultCode::InvalidSetting,
             "the body must be one of TRACE, DEBUG, INFO, WARN, ERROR, OFF"}));
    });
    http.route("GET", "/health/live", [](const HttpRequest &, const auto &respond) {
        respond(textAnswer(statusOk, "live"));
    });
    http.route("GET", "/health/ready", [this](const HttpRequest &, const auto &respond) {
        const bool ready = m_hooks.isReady();
        respond(ready ? textAnswer(statusOk, "ready") : textAnswer(statusUnavailable, "not ready"));
    });
}

void OperatorApi::change(const HttpRequest &request, const HttpServer::Responder &respond)
{
    Reason reason;
    const auto change = SettingsChange::parse(request.body, reason);
    if (!change || !checkTarget(*change, reason)) {
        respond(HttpServer::errorAnswer(reason));
        return;
    }
    const SteadyTime startedAt = m_clock.now();
    m_settings.change(*change,
                      [this, respond, startedAt](const Reason &outcome, Revision revision) {
                          recordOutcome(outcome, startedAt);
                          respond(jsonAnswer(changeBody(outcome, revision),
                                             resultCodeInfo(outcome.code).httpStatus));
                      });
}

void OperatorApi::history(const HttpRequest &request, const HttpServer::Responder &respond)
{
    Reason reason;
    const auto limit = numberParameter(request, "limit", defaultHistoryLimit, reason);
    if (!limit) {
        respond(HttpServer::errorAnswer(reason));
        return;
    }
    m_settings.readHistory([respond, limit = *limit](const auto &history, const Reason &error) {
        if (!history) {
            respond(HttpServer::errorAnswer(error));
            return;
        }
        const auto &records = history->records();
        Json list = Json::array();
        const std::size_t first = records.size() > limit ? records.size() - limit : 0;
        for (std::size_t index = first; index < records.size(); ++index) {
            list.push_back(records[index].toJson());
        }
        respond(jsonAnswer({{"records", std::move(list)}}));
    });
}

void OperatorApi::difference(const HttpRequest &request, const HttpServer::Responder &respond)
{
    Reason reason;
    const auto from = numberParameter(request, "from", std::nullopt, reason);
    const auto to = numberParameter(request, "to", m_settings.document()->revision, reason);
    if (!from || !to) {
        respond(HttpServer::errorAnswer(reason));
        return;
    }
    m_settings.readHistory([respond, from = *from, to = *to](const auto &history, Reason error) {
        const auto differences = history ? history->difference(from, to, error) : std::nullopt;
        if (!differences) {
            respond(HttpServer::errorAnswer(error));
            return;
        }
        Json list = Json::array();
        for (const SettingsDifference &difference : *differences) {
            Json item = differenceToJson(difference);
            item["text"] = difference.toText();
            list.push_back(std::move(item));
        }
        respond(jsonAnswer({{"from", from}, {"to", to}, {"differences", std::move(list)}}));
    });
}

} // namespace pimentoward
