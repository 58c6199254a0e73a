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

HttpAnswer textReply(int status, const std::string &text)
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
    m_http.setConnectionHook([this](evhttp_connection *c) { trackConnection(c); });
    addRoutes();
}

BackendServerProcess::~BackendServerProcess()
{
    // libevent requires that every request is answered before its server is freed.
    for (auto &[requestId, running] : m_running) {
        running.respond(textReply(statusRefused, "ended"));
    }
    releaseFrozen();
    for (const Withheld &dropped : m_droppedReplies) {
        dropped.respond(dropped.reply);
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
    // This health check is misleading on purpose: it does not show a cold start, and its result is
    // a flag that POST /control sets.
    m_http.route("GET", "/health", [this](const HttpRequest &, const auto &respond) {
        respond(m_healthy ? textReply(statusOk, "ok") : textReply(statusRefused, "bad"));
    });
    m_http.route("GET", "/records",
                 [this](const HttpRequest &, const auto &respond) { respond(dumpRecords()); });
    m_http.route("GET", "/stats",
                 [this](const HttpRequest &, const auto &respond) { respond(dumpStatistics()); });
    m_http.route("POST", "/control", [this](const HttpRequest &request, const auto &respond) {
        respond(control(request.body));
    });
}

void BackendServerProcess::trackConnection(evhttp_connection *connection)
{
    m_currentConnection = connection;
    m_isNewConnection = m_connections.insert(connection).second;
    if (!m_isNewConnection) {
        return;
    }
    ++m_connectionsOpened;
    m_peakConnections = std::max(m_peakConnections, m_connections.size());
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
        reply(respond, textReply(statusRefused, "too many connections"));
    } else if (requestId.empty() || m_model.hasSeen(requestId)) {
        reply(respond, textReply(statusBadRequest, "missing or repeated X-Request-Id"));
    } else if (shard == nullptr || isVersionGone(version)) {
        reply(respond,
              textReply(statusVersionGone, "this server does not hold this version of the shard"));
    } else {
        begin(request, *shard, respond);
    }
}

void BackendServerProcess::begin(const HttpRequest &request, const Shard &shard,
                                 const HttpServer::Responder &respond)
{
    const std::string requestId = request.header("x-request-id");
    const IndexVersion version = std::strtoull(request.header("x-version").c_str(), nullptr, 10);
    const std::optional<Duration> serviceTime
        = m_model.begin(requestId, shard.name, version, m_clock.now());
    if (!serviceTime) {
        reply(respond, textReply(statusRefused, "refused without being run"));
        return;
    }
    const Duration connectionSetup
        = m_isNewConnection ? m_description.connectionCost : Duration::zero();
    const Duration timeNeeded = *serviceTime + connectionSetup;
    const auto timeAllowed
        = std::chrono::milliseconds(std::atoll(request.header("x-deadline-ms").c_str()));
    const bool finished = timeNeeded <= timeAllowed;
    constexpr bool throwOnError = false;
    if (const Json body = Json::parse(request.body, nullptr, throwOnError); body.is_object()) {
        m_idempotencyKeys[requestId] = body.value("idempotencyKey", "");
    }
    Running &running = m_running[requestId];
    running.respond = respond;
    running.reply = finished ? readRecords(request, shard.range)
                             : textReply(statusStopped, "stopped at the deadline");
    running.timer = std::make_unique<Timer>(
        m_loop, [this, requestId, finished] { finish(requestId, finished); });
    running.timer->startOnce(std::min<Duration>(timeNeeded, timeAllowed));
}

void BackendServerProcess::cancel(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const std::string requestId = request.header("x-request-id");
    if (const auto found = m_running.find(requestId); found != m_running.end()) {
        found->second.reply = textReply(statusStopped, "cancelled");
        finish(requestId, false);
    }
    // 404 does not prove that the request will not run: it may still be on its way to this server.
    reply(respond,
          m_model.hasSeen(requestId) ? textReply(statusOk, "stopped")
                                     : textReply(statusUnknown, "not seen yet"));
}

HttpAnswer BackendServerProcess::control(const std::string &body)
{
    constexpr bool throwOnError = false;
    const Json json = Json::parse(body, nullptr, throwOnError);
    if (!json.is_object()) {
        return textReply(statusBadRequest, "the body is not a JSON object");
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
        m_model.setSlowFactor(json.value("slowFactor", m_model.slowFactor()));
        m_model.settings().shedAbove = json.value("shedAbove", m_model.settings().shedAbove);
        m_leaving = json.value("leaving", m_leaving);
        m_healthy = json.value("healthy", m_healthy);
        m_frozen = json.value("freezeReplies", m_frozen);
        m_dropShare = json.value("dropReplies", m_dropShare);
        m_goneVersions = json.value("goneVersions", m_goneVersions);
    } catch (const Json::exception &error) {
        return textReply(statusBadRequest, error.what());
    }
    if (!m_frozen) {
        releaseFrozen();
    }
    return dumpStatistics();
}

void BackendServerProcess::restart()
{
    for (evhttp_connection *connection : m_connections) {
        if (connection == m_currentConnection) {
            continue;
        }
        // The socket itself is shut down, as the operating system does when a process ends.
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
    }
    m_model.restart(m_clock.now());
    std::map<std::string, Running> interrupted;
    interrupted.swap(m_running);
    for (auto &[requestId, running] : interrupted) {
        m_droppedReplies.push_back({running.respond, running.reply});
    }
}

void BackendServerProcess::finish(const std::string &requestId, bool finished)
{
    const auto found = m_running.find(requestId);
    const Running ended = std::move(found->second);
    m_running.erase(found);
    m_model.end(requestId, finished, m_clock.now());
    reply(ended.respond, ended.reply);
}

void BackendServerProcess::reply(const HttpServer::Responder &respond, HttpAnswer reply)
{
    constexpr double range = 4294967296.0;
    reply.headers["X-Incarnation"] = std::to_string(m_model.incarnation());
    if (m_leaving) {
        reply.headers["X-Leaving"] = "1";
    }
    if (m_dropShare > 0 && static_cast<double>(m_random()) / range < m_dropShare) {
        m_droppedReplies.push_back({respond, std::move(reply)});
    } else if (m_frozen) {
        m_frozenReplies.push_back({respond, std::move(reply)});
    } else {
        respond(reply);
    }
}

void BackendServerProcess::releaseFrozen()
{
    std::vector<Withheld> released;
    released.swap(m_frozenReplies);
    for (const Withheld &withheld : released) {
        withheld.respond(withheld.reply);
    }
}

HttpAnswer BackendServerProcess::readRecords(const HttpRequest &request,
                                             const KeyRange &range) const
{
    constexpr bool throwOnError = false;
    const Json body = Json::parse(request.body, nullptr, throwOnError);
    if (!body.is_object()) {
        return textReply(statusBadRequest, "the body is not a JSON object");
    }
    const std::string version = request.header("x-version");
    const Json matches = m_records->scan(body, range, std::strtoull(version.c_str(), nullptr, 10));
    HttpAnswer reply {statusOk, matches.dump(), "application/json", {}};
    reply.headers["X-Request-Id"] = request.header("x-request-id");
    reply.headers["X-Shard"] = request.header("x-shard");
    reply.headers["X-Version"] = version;
    reply.headers["X-Length"] = std::to_string(reply.body.size());
    return reply;
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
                     {"mostConcurrent", m_model.peakConcurrency()},
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
                     {"mostConcurrent", counts.peakConcurrency},
                     {"running", m_model.running()},
                     {"cold", m_model.isCold()},
                     {"incarnation", m_model.incarnation()},
                     {"connections", m_connections.size()},
                     {"mostConnections", m_peakConnections},
                     {"connectionsOpened", m_connectionsOpened},
                     {"connectionsRefused", m_connectionsRefused}};
    return {statusOk, dump.dump(), "application/json", {}};
}

} // namespace pimentoward::standins
