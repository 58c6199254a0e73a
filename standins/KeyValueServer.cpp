#include "standins/KeyValueServer.h"

#include "Pimentoward/Core/Base64.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

constexpr int statusNotFound = 404;
constexpr int statusForbidden = 403;
constexpr int statusGone = 410;
constexpr int statusConflict = 412;
constexpr int statusBusy = 429;
constexpr int statusUnavailable = 503;
constexpr std::chrono::milliseconds tickPeriod {10};

HttpAnswer jsonAnswer(const Json &body, int status = 200)
{
    return {status, body.dump(), "application/json", {}};
}

Json itemJson(const StoreItem &item)
{
    return {{"key", item.key},
            {"value", toBase64(item.value)},
            {"revision", item.revision},
            {"createdRev", item.revision},
            {"lease", item.lease}};
}

Json eventJson(const StoreEvent &event)
{
    if (event.isRemoved) {
        return {{"key", event.item.key}, {"revision", event.item.revision}, {"deleted", true}};
    }
    return itemJson(event.item);
}

std::uint64_t parseNumber(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

/// Returns the number after the last slash of a path.
std::uint64_t idInPath(const std::string &path)
{
    return parseNumber(path.substr(path.rfind('/') + 1));
}

/// True for keys that only operators and backend servers may write.
bool isReserved(const std::string &key)
{
    return key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0;
}

} // namespace

KeyValueServer::KeyValueServer(event_base *loop, const KeyValueModel::Settings &settings)
    : m_model(settings)
    , m_http(loop, {})
    , m_timer(loop, [this] { tick(); })
{
    addRoutes();
    addOperatorRoutes();
    m_timer.startRepeating(tickPeriod);
}

void KeyValueServer::changeMode(Mode mode)
{
    m_mode = mode;
}

void KeyValueServer::put(const std::string &key, const std::string &value)
{
    m_model.put(key, value);
    answerWatches();
}

void KeyValueServer::remove(const std::string &key)
{
    m_model.remove(key);
    answerWatches();
}

void KeyValueServer::dropHistory()
{
    m_model.dropHistory();
}

void KeyValueServer::restore(const KeyValueModel &copy)
{
    m_model.restore(copy);
    answerWatches();
}

bool KeyValueServer::isHandledByMode(const HttpRequest &request,
                                     const HttpServer::Responder &respond)
{
    ++m_calls[request.path];
    switch (m_mode) {
    case Mode::Down:
        answer(respond, jsonAnswer(Json::object(), statusUnavailable));
        return true;
    case Mode::Busy:
        answer(respond, jsonAnswer(Json::object(), statusBusy));
        return true;
    case Mode::Unresponsive:
        m_unanswered.push_back(respond);
        return true;
    default:
        return false;
    }
}

void KeyValueServer::answer(const HttpServer::Responder &respond, const HttpAnswer &answer)
{
    if (m_mode == Mode::LoseAnswers) {
        m_unanswered.push_back(respond);
        return;
    }
    HttpAnswer sent = answer;
    if (m_model.era() > 0) {
        sent.headers["Store-Era"] = std::to_string(m_model.era());
    }
    if (m_mode == Mode::Malformed) {
        sent.body = "{\"items\":[{\"key\":7";
    }
    if (m_delay.count() == 0) {
        respond(sent);
        return;
    }
    m_delayed.push_back({std::chrono::steady_clock::now() + m_delay, respond, sent});
}

void KeyValueServer::addCall(const std::string &method, const std::string &path,
                             CallHandler callHandler)
{
    const auto handler = [this, callHandler = std::move(callHandler)](
                             const HttpRequest &request, const HttpServer::Responder &respond) {
        if (!isHandledByMode(request, respond)) {
            answer(respond, callHandler(request));
            answerWatches();
        }
    };
    if (path.back() == '/') {
        m_http.routePrefix(method, path, handler);
    } else {
        m_http.route(method, path, handler);
    }
}

void KeyValueServer::addRoutes()
{
    addCall("GET", "/-/kv-key", [this](const HttpRequest &request) {
        const StoreItem *item = m_model.read(request.parameter("key"));
        if (item == nullptr) {
            return jsonAnswer(Json::object(), statusNotFound);
        }
        Json body = itemJson(*item);
        body["storeRevision"] = m_model.revision();
        return jsonAnswer(body);
    });
    addCall("GET", "/-/kv-range", [this](const HttpRequest &request) {
        const StorePage page
            = m_model.range(request.parameter("pathPrefix"), request.parameter("after"));
        Json items = Json::array();
        for (const StoreItem &item : page.items) {
            items.push_back(itemJson(item));
        }
        return jsonAnswer(
            {{"items", items}, {"hasMore", page.hasMore}, {"storeRevision", page.revision}});
    });
    addCall("POST", "/-/kv-txn", [this](const HttpRequest &request) { return transact(request); });
    addCall("POST", "/-/kv-lease", [this](const HttpRequest &request) {
        const Json body = Json::parse(request.body, nullptr, false);
        const std::chrono::milliseconds timeToLive(body.value("ttlMs", 1000));
        const StoreLease lease = m_model.grantLease(timeToLive, std::chrono::steady_clock::now());
        return jsonAnswer({{"lease", lease.id}, {"ttlMs", timeToLive.count()}});
    });
    addCall("POST", "/-/kv-keep/", [this](const HttpRequest &request) {
        const bool isRenewed
            = m_model.renewLease(idInPath(request.path), std::chrono::steady_clock::now());
        return jsonAnswer(Json::object(), isRenewed ? 200 : statusNotFound);
    });
    addCall("DELETE", "/-/kv-lease-end/", [this](const HttpRequest &request) {
        const bool hasEnded = m_model.endLease(idInPath(request.path));
        return jsonAnswer(Json::object(), hasEnded ? 200 : statusNotFound);
    });
    m_http.route("GET", "/-/kv-watch",
                 [this](const HttpRequest &request, const HttpServer::Responder &respond) {
                     if (!isHandledByMode(request, respond)) {
                         watch(request, respond);
                     }
                 });
}

void KeyValueServer::addOperatorRoutes()
{
    m_http.route("PUT", "/operator/key",
                 [this](const HttpRequest &request, const HttpServer::Responder &respond) {
                     put(request.parameter("key"), request.body);
                     respond(jsonAnswer({{"revision", m_model.revision()}}));
                 });
    m_http.route("DELETE", "/operator/key",
                 [this](const HttpRequest &request, const HttpServer::Responder &respond) {
                     remove(request.parameter("key"));
                     respond(jsonAnswer({{"revision", m_model.revision()}}));
                 });
}

HttpAnswer KeyValueServer::transact(const HttpRequest &request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    StoreTransaction transaction;
    for (const Json &entry : body.value("precondition", Json::array())) {
        transaction.conditions.push_back({entry.value("key", ""), entry.value("revision", 0UL)});
    }
    for (const Json &entry : body.value("writes", Json::array())) {
        const std::string key = entry.value("key", "");
        if (isReserved(key)) {
            return jsonAnswer(Json::object(), statusForbidden);
        }
        transaction.writes.push_back(
            {key, fromBase64(entry.value("value", "")), entry.value("lease", 0UL)});
    }
    for (const Json &entry : body.value("remove", Json::array())) {
        transaction.removals.push_back(entry.get<std::string>());
    }
    StoreError error = StoreError::Conflict;
    if (const auto revision = m_model.transact(transaction, error)) {
        return jsonAnswer({{"revision", *revision}});
    }
    return jsonAnswer(Json::object(),
                      error == StoreError::NotFound ? statusNotFound : statusConflict);
}

void KeyValueServer::watch(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const std::chrono::milliseconds wait(parseNumber(request.parameter("waitMs")));
    m_watches.push_back({request.parameter("pathPrefix"), parseNumber(request.parameter("after")),
                         std::chrono::steady_clock::now() + wait, respond});
    answerWatches();
}

void KeyValueServer::answerWatches()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        const auto changes = m_model.changes(it->prefix, it->after);
        const bool isDue = !changes || !changes->events.empty() || it->endsAt <= now;
        if (!isDue) {
            ++it;
            continue;
        }
        const HttpServer::Responder respond = it->respond;
        it = m_watches.erase(it);
        if (!changes) {
            answer(respond, jsonAnswer(Json::object(), statusGone));
            continue;
        }
        Json events = Json::array();
        for (const StoreEvent &event : changes->events) {
            events.push_back(eventJson(event));
        }
        answer(respond, jsonAnswer({{"events", events}, {"storeRevision", changes->revision}}));
    }
}

void KeyValueServer::tick()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    m_model.expire(now);
    if (m_mode != Mode::Unresponsive) {
        answerWatches();
    }
    while (!m_delayed.empty() && m_delayed.front().at <= now) {
        const DelayedAnswer delayed = std::move(m_delayed.front());
        m_delayed.pop_front();
        delayed.respond(delayed.answer);
    }
}

} // namespace pimentoward::standins
