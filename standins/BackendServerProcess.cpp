#include "standins/BackendServerProcess.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusVersionGone = 410;
constexpr int statusStopped = 499;
constexpr int statusRefused = 503;

HttpAnswer textAnswer(int status, const std::string &text)
{
    return {status, text, "text/plain", {}};
}

HttpServerSettings serverSettings()
{
    HttpServerSettings settings;
    settings.idleTimeout = std::chrono::hours(1);
    return settings;
}

} // namespace

BackendServerProcess::BackendServerProcess(event_base *loop, BackendServer description,
                                           ServiceCatalog catalog,
                                           std::shared_ptr<const RecordSet> records,
                                           const BackendServerModel::Settings &settings)
    : m_loop(loop)
    , m_description(std::move(description))
    , m_catalog(std::move(catalog))
    , m_records(std::move(records))
    , m_model(settings)
    , m_http(loop, serverSettings())
{
    m_http.route("POST", "/run", [this](const HttpRequest &request, const auto &respond) {
        run(request, respond);
    });
    m_http.route("POST", "/cancel", [this](const HttpRequest &request, const auto &respond) {
        cancel(request, respond);
    });
    m_http.route("GET", "/health", [](const HttpRequest &, const auto &respond) {
        respond(textAnswer(statusOk, "ok"));
    });
    m_http.route("GET", "/records",
                 [this](const HttpRequest &, const auto &respond) { respond(dumpRecords()); });
}

void BackendServerProcess::run(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const std::string requestId = request.header("x-request-id");
    const IndexVersion version = std::strtoull(request.header("x-version").c_str(), nullptr, 10);
    const Shard *shard = findShard(request.header("x-shard"), version);
    if (requestId.empty() || m_model.isRunning(requestId)) {
        respond(textAnswer(statusBadRequest, "missing or repeated X-Request-Id"));
        return;
    }
    if (shard == nullptr) {
        respond(textAnswer(statusVersionGone, "this version of the shard is not held here"));
        return;
    }
    const std::optional<Duration> begun
        = m_model.begin(requestId, shard->name, version, m_clock.now());
    if (!begun) {
        respond(textAnswer(statusRefused, "refused without being run"));
        return;
    }
    const Duration needed = *begun;
    const auto allowed
        = std::chrono::milliseconds(std::atoll(request.header("x-deadline-ms").c_str()));
    const bool whole = needed <= allowed;
    Running &running = m_running[requestId];
    running.respond = respond;
    running.answer = whole ? readRecords(request, shard->range)
                           : textAnswer(statusStopped, "stopped at the deadline");
    running.timer
        = std::make_unique<Timer>(m_loop, [this, requestId, whole] { finish(requestId, whole); });
    running.timer->startOnce(std::min<Duration>(needed, allowed));
}

void BackendServerProcess::cancel(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const std::string requestId = request.header("x-request-id");
    if (const auto found = m_running.find(requestId); found != m_running.end()) {
        found->second.answer = textAnswer(statusStopped, "cancelled");
        finish(requestId, false);
    }
    respond(textAnswer(statusOk, "ok"));
}

void BackendServerProcess::finish(const std::string &requestId, bool whole)
{
    const auto found = m_running.find(requestId);
    const Running ended = std::move(found->second);
    m_running.erase(found);
    m_model.end(requestId, whole, m_clock.now());
    ended.respond(ended.answer);
}

HttpAnswer BackendServerProcess::readRecords(const HttpRequest &request,
                                             const KeyRange &range) const
{
    constexpr bool throwOnError = false;
    const Json body = Json::parse(request.body, nullptr, throwOnError);
    if (!body.is_object()) {
        return textAnswer(statusBadRequest, "the body is no JSON object");
    }
    const std::string version = request.header("x-version");
    const Json matches = m_records->scan(body, range, std::strtoull(version.c_str(), nullptr, 10));
    HttpAnswer answer {statusOk, matches.dump(), "application/json", {}};
    answer.headers["X-Request-Id"] = request.header("x-request-id");
    answer.headers["X-Shard"] = request.header("x-shard");
    answer.headers["X-Version"] = version;
    answer.headers["X-Length"] = std::to_string(answer.body.size());
    return answer;
}

const Shard *BackendServerProcess::findShard(const ShardName &name, IndexVersion version) const
{
    for (const IndexVersionEntry &entry : m_catalog.versions) {
        if (entry.version != version) {
            continue;
        }
        for (const Shard &shard : entry.shards->shards()) {
            const auto &replicas = shard.replicas;
            const bool isHeld = std::count(replicas.begin(), replicas.end(), m_description.id) > 0;
            if (shard.name == name && isHeld) {
                return &shard;
            }
        }
    }
    return nullptr;
}

HttpAnswer BackendServerProcess::dumpRecords() const
{
    const auto micros = [](SteadyTime time) {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch())
            .count();
    };
    Json list = Json::array();
    for (const RunRecord &record : m_model.records()) {
        list.push_back({{"requestId", record.requestId},
                        {"shard", record.shard},
                        {"version", record.version},
                        {"startedMicros", micros(record.started)},
                        {"endedMicros", micros(record.ended)},
                        {"concurrent", record.concurrent},
                        {"finished", record.finished}});
    }
    const Json dump {{"backendServer", m_description.id},
                     {"slots", m_description.slots},
                     {"mostConcurrent", m_model.mostConcurrent()},
                     {"runs", std::move(list)}};
    return {statusOk, dump.dump(), "application/json", {}};
}

} // namespace pimentoward::standins
