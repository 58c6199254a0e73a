#include "standins/BackendServerProcess.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnknown = 404;
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
    , m_random(settings.seed)
    , m_http(loop, serverSettings())
{
    m_http.setConnectionHook([this](evhttp_connection *c) { noteConnection(c); });
    addRoutes();
}

BackendServerProcess::~BackendServerProcess()
{
    // libevent wants every request answered before the server ends.
    for (auto &[requestId, running] : m_running) {
        running.respond(textAnswer(statusRefused, "ended"));
    }
    releaseFrozen();
    for (const Withheld &dropped : m_droppedAnswers) {
        dropped.respond(dropped.answer);
    }
    for (evhttp_connection *connection : m_connections) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
}

void BackendServerProcess::addRoutes()
{
    m_http.route("POST", "/run", [this](const HttpRequest &request, const auto &respond) {
        run(request, respond);
    });
    m_http.route("POST", "/cancel", [this](const HttpRequest &request, const auto &respond) {
        cancel(request, respond);
    });
    // Misleading by nature: it says nothing of a cold start, and its flag is set by hand.
    m_http.route("GET", "/health", [this](const HttpRequest &, const auto &respond) {
        respond(m_healthy ? textAnswer(statusOk, "ok") : textAnswer(statusRefused, "bad"));
    });
    m_http.route("GET", "/records",
                 [this](const HttpRequest &, const auto &respond) { respond(dumpRecords()); });
    m_http.route("GET", "/stats",
                 [this](const HttpRequest &, const auto &respond) { respond(dumpStatistics()); });
    m_http.route("POST", "/control", [this](const HttpRequest &request, const auto &respond) {
        respond(control(request.body));
    });
}

void BackendServerProcess::noteConnection(evhttp_connection *connection)
{
    m_connectionAtHand = connection;
    m_isNewConnection = m_connections.insert(connection).second;
    if (!m_isNewConnection) {
        return;
    }
    ++m_connectionsOpened;
    m_mostConnections = std::max(m_mostConnections, m_connections.size());
    const auto onClosed = [](evhttp_connection *closed, void *self) {
        static_cast<BackendServerProcess *>(self)->m_connections.erase(closed);
    };
    evhttp_connection_set_closecb(connection, onClosed, this);
}

void BackendServerProcess::run(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const std::string requestId = request.header("x-request-id");
    const IndexVersion version = std::strtoull(request.header("x-version").c_str(), nullptr, 10);
    const Shard *shard = findShard(request.header("x-shard"), version);
    if (m_connections.size() > static_cast<std::size_t>(m_description.connections)) {
        ++m_connectionsRefused;
        answer(respond, textAnswer(statusRefused, "too many connections"));
    } else if (requestId.empty() || m_model.hasSeen(requestId)) {
        answer(respond, textAnswer(statusBadRequest, "missing or repeated X-Request-Id"));
    } else if (shard == nullptr || isVersionGone(version)) {
        answer(respond,
               textAnswer(statusVersionGone, "this version of the shard is not held here"));
    } else {
        begin(request, *shard, respond);
    }
}

void BackendServerProcess::begin(const HttpRequest &request, const Shard &shard,
                                 const HttpServer::Responder &respond)
{
    const std::string requestId = request.header("x-request-id");
    const IndexVersion version = std::strtoull(request.header("x-version").c_str(), nullptr, 10);
    const std::optional<Duration> work
        = m_model.begin(requestId, shard.name, version, m_clock.now());
    if (!work) {
        answer(respond, textAnswer(statusRefused, "refused without being run"));
        return;
    }
    const Duration opening = m_isNewConnection ? m_description.connectionCost : Duration::zero();
    const Duration needed = *work + opening;
    const auto allowed
        = std::chrono::milliseconds(std::atoll(request.header("x-deadline-ms").c_str()));
    const bool whole = needed <= allowed;
    constexpr bool throwOnError = false;
    if (const Json body = Json::parse(request.body, nullptr, throwOnError); body.is_object()) {
        m_idempotencyKeys[requestId] = body.value("idempotencyKey", "");
    }
    Running &running = m_running[requestId];
    running.respond = respond;
    running.answer = whole ? readRecords(request, shard.range)
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
    // 404 proves nothing: the request may still be on its way.
    answer(respond,
           m_model.hasSeen(requestId) ? textAnswer(statusOk, "stopped")
                                      : textAnswer(statusUnknown, "not seen yet"));
}

HttpAnswer BackendServerProcess::control(const std::string &body)
{
    constexpr bool throwOnError = false;
    const Json json = Json::parse(body, nullptr, throwOnError);
    if (!json.is_object()) {
        return textAnswer(statusBadRequest, "the body is no JSON object");
    }
    try {
        if (json.value("cold", false)) {
            m_model.makeCold();
        }
        if (json.value("collapse", false)) {
            m_model.collapse(m_clock.now());
        }
        if (json.value("restart", false)) {
            restart();
        }
        m_model.slowDown(json.value("slowFactor", m_model.slowFactor()));
        m_model.settings().shedAbove = json.value("shedAbove", m_model.settings().shedAbove);
        m_leaving = json.value("leaving", m_leaving);
        m_healthy = json.value("healthy", m_healthy);
        m_frozen = json.value("freezeReplies", m_frozen);
        m_dropShare = json.value("dropReplies", m_dropShare);
        m_goneVersions = json.value("goneVersions", m_goneVersions);
    } catch (const Json::exception &error) {
        return textAnswer(statusBadRequest, error.what());
    }
    if (!m_frozen) {
        releaseFrozen();
    }
    return dumpStatistics();
}

void BackendServerProcess::restart()
{
    for (evhttp_connection *connection : m_connections) {
        if (connection == m_connectionAtHand) {
            continue;
        }
        // Ended from the socket, as the system does for a process that has gone.
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
    }
    m_model.restart(m_clock.now());
    std::map<std::string, Running> lost;
    lost.swap(m_running);
    for (auto &[requestId, running] : lost) {
        m_droppedAnswers.push_back({running.respond, running.answer});
    }
}

void BackendServerProcess::finish(const std::string &requestId, bool whole)
{
    const auto found = m_running.find(requestId);
    const Running ended = std::move(found->second);
    m_running.erase(found);
    m_model.end(requestId, whole, m_clock.now());
    answer(ended.respond, ended.answer);
}

void BackendServerProcess::answer(const HttpServer::Responder &respond, HttpAnswer answer)
{
    constexpr double range = 4294967296.0;
    answer.headers["X-Incarnation"] = std::to_string(m_model.incarnation());
    if (m_leaving) {
        answer.headers["X-Leaving"] = "1";
    }
    if (m_dropShare > 0 && static_cast<double>(m_random()) / range < m_dropShare) {
        m_droppedAnswers.push_back({respond, std::move(answer)});
    } else if (m_frozen) {
        m_frozenAnswers.push_back({respond, std::move(answer)});
    } else {
        respond(answer);
    }
}

void BackendServerProcess::releaseFrozen()
{
    std::vector<Withheld> released;
    released.swap(m_frozenAnswers);
    for (const Withheld &withheld : released) {
        withheld.respond(withheld.answer);
    }
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
        const auto key = m_idempotencyKeys.find(record.requestId);
        list.push_back({{"requestId", record.requestId},
                        {"idempotencyKey", key == m_idempotencyKeys.end() ? "" : key->second},
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

HttpAnswer BackendServerProcess::dumpStatistics() const
{
    const BackendServerModel::Statistics &counts = m_model.statistics();
    const Json dump {{"backendServer", m_description.id},
                     {"slots", m_description.slots},
                     {"runs", counts.runs},
                     {"refused", counts.refused},
                     {"overloaded", counts.overloaded},
                     {"coldOverloaded", counts.coldOverloaded},
                     {"collapses", counts.collapses},
                     {"mostConcurrent", counts.mostConcurrent},
                     {"running", m_model.running()},
                     {"cold", m_model.isCold()},
                     {"incarnation", m_model.incarnation()},
                     {"connections", m_connections.size()},
                     {"mostConnections", m_mostConnections},
                     {"connectionsOpened", m_connectionsOpened},
                     {"connectionsRefused", m_connectionsRefused}};
    return {statusOk, dump.dump(), "application/json", {}};
}

} // namespace pimentoward::standins
