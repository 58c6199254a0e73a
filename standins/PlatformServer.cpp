#include "standins/PlatformServer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooLarge = 413;
constexpr int statusUnavailable = 503;
constexpr std::size_t maxValueBytes = 1'048'576;

HttpServerSettings serverSettings()
{
    HttpServerSettings settings;
    settings.maxBodyBytes = maxValueBytes + 1024;
    settings.idleTimeout = std::chrono::hours(1);
    return settings;
}

HttpAnswer textAnswer(int status, const std::string &text)
{
    return {status, text, "text/plain", {}};
}

HttpAnswer valueAnswer(const StoredValue &value)
{
    HttpAnswer answer;
    answer.status = value.revision == 0 ? statusNotFound : statusOk;
    answer.body = value.value;
    answer.headers["X-Revision"] = std::to_string(value.revision);
    return answer;
}

std::uint64_t parseNumber(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

PlatformServer::PlatformServer(event_base *loop)
    : m_loop(loop)
    , m_http(loop, serverSettings())
{
    m_store.onChange([this](const std::string &key) { answerWatches(key); });
    addRoutes();
    addControlRoutes();
}

void PlatformServer::changeMode(PlatformMode mode, std::chrono::milliseconds delay)
{
    m_mode = mode;
    m_delay = delay;
}

void PlatformServer::addRoutes()
{
    m_http.route("GET", "/kv", [this](const HttpRequest &request, const auto &respond) {
        ++m_reads;
        serve(respond,
              [this, key = request.parameter("key")] { return valueAnswer(m_store.read(key)); });
    });
    m_http.route("PUT", "/kv", [this](const HttpRequest &request, const auto &respond) {
        ++m_writes;
        serve(respond, [this, request] {
            if (request.body.size() > maxValueBytes) {
                return textAnswer(statusTooLarge, "the value exceeds the maximum of 1 MiB");
            }
            const WriteOutcome outcome = m_store.compareAndSwap(
                request.parameter("key"), parseNumber(request.parameter("expected")), request.body);
            HttpAnswer answer;
            answer.status = outcome.status == WriteStatus::Committed ? statusOk : statusConflict;
            answer.headers["X-Revision"] = std::to_string(outcome.revision);
            return answer;
        });
    });
    m_http.route("GET", "/keys", [this](const HttpRequest &request, const auto &respond) {
        ++m_reads;
        serve(respond, [this, prefix = request.parameter("prefix")] {
            return HttpAnswer {
                statusOk, Json(m_store.keysWithPrefix(prefix)).dump(), "application/json", {}};
        });
    });
    m_http.route("GET", "/watch", [this](const HttpRequest &request, const auto &respond) {
        ++m_watches;
        handleWatch(request, respond);
    });
    m_http.route("GET", "/vms", [this](const HttpRequest &, const auto &respond) {
        ++m_reads;
        serve(respond, [this] { return listVms(); });
    });
}

void PlatformServer::addControlRoutes()
{
    m_http.route("POST", "/control", [this](const HttpRequest &request, const auto &respond) {
        respond(handleControl(request));
    });
    m_http.route("GET", "/stats", [this](const HttpRequest &, const auto &respond) {
        const Json stats {{"reads", m_reads},
                          {"writes", m_writes},
                          {"watches", m_watches},
                          {"waitingWatches", m_waitingWatches.size()}};
        respond({statusOk, stats.dump(), "application/json", {}});
    });
}

void PlatformServer::serve(const HttpServer::Responder &respond,
                           const std::function<HttpAnswer()> &operation)
{
    switch (m_mode) {
    case PlatformMode::Down:
        sendAnswer(respond, textAnswer(statusUnavailable, "the store is unavailable"));
        return;
    case PlatformMode::LoseAnswers:
        operation();
        return;
    case PlatformMode::Unresponsive:
        return;
    case PlatformMode::Up:
        break;
    }
    sendAnswer(respond, operation());
}

void PlatformServer::sendAnswer(const HttpServer::Responder &respond, const HttpAnswer &answer)
{
    if (m_delay.count() == 0) {
        respond(answer);
        return;
    }
    auto &timer = m_delayTimers.emplace_back();
    const auto position = std::prev(m_delayTimers.end());
    timer = std::make_unique<Timer>(m_loop, [this, position, respond, answer] {
        // The timer owns this callback, so the timer is kept alive until the callback returns.
        const auto self = std::move(*position);
        m_delayTimers.erase(position);
        respond(answer);
    });
    timer->startOnce(m_delay);
}

void PlatformServer::handleWatch(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const std::string key = request.parameter("key");
    const Revision after = parseNumber(request.parameter("after"));
    if (m_mode != PlatformMode::Up || m_store.read(key).revision > after) {
        serve(respond, [this, key] { return valueAnswer(m_store.read(key)); });
        return;
    }
    Watch &entry = m_waitingWatches.emplace_back();
    entry.key = key;
    entry.after = after;
    entry.respond = respond;
    const auto position = std::prev(m_waitingWatches.end());
    entry.timeout = std::make_unique<Timer>(m_loop, [this, position] {
        const Watch ended = std::move(*position);
        m_waitingWatches.erase(position);
        serve(ended.respond, [this, &ended] { return valueAnswer(m_store.read(ended.key)); });
    });
    entry.timeout->startOnce(std::chrono::milliseconds(parseNumber(request.parameter("waitMs"))));
}

void PlatformServer::answerWatches(const std::string &key)
{
    for (auto entry = m_waitingWatches.begin(); entry != m_waitingWatches.end();) {
        if (entry->key != key || m_store.read(key).revision <= entry->after) {
            ++entry;
            continue;
        }
        const Watch ended = std::move(*entry);
        entry = m_waitingWatches.erase(entry);
        serve(ended.respond, [this, key] { return valueAnswer(m_store.read(key)); });
    }
}

HttpAnswer PlatformServer::listVms() const
{
    Json list = Json::array();
    for (const auto &[id, vm] : m_store.vms()) {
        list.push_back({{"id", id},
                        {"host", vm.host},
                        {"failureDomain", vm.failureDomain},
                        {"leaving", vm.leaving}});
    }
    return {statusOk, list.dump(), "application/json", {}};
}

HttpAnswer PlatformServer::handleControl(const HttpRequest &request)
{
    constexpr bool throwOnError = false;
    const Json command = Json::parse(request.body, nullptr, throwOnError);
    static const std::map<std::string, PlatformMode> modes {
        {"up", PlatformMode::Up},
        {"down", PlatformMode::Down},
        {"lose-answers", PlatformMode::LoseAnswers},
        {"silent", PlatformMode::Unresponsive},
    };
    if (!command.is_object()) {
        return textAnswer(statusBadRequest, "the body is not a JSON object");
    }
    if (const auto mode = modes.find(command.value("mode", "")); mode != modes.end()) {
        changeMode(mode->second, std::chrono::milliseconds(command.value("delayMs", 0)));
        return textAnswer(statusOk, "ok");
    }
    if (command.contains("putVm")) {
        const Json &vm = command["putVm"];
        m_store.putVm({vm.value("id", ""), vm.value("host", ""), vm.value("failureDomain", ""),
                       vm.value("leaving", false)});
        return textAnswer(statusOk, "ok");
    }
    if (command.contains("removeVm")) {
        m_store.removeVm(command.value("removeVm", ""));
        return textAnswer(statusOk, "ok");
    }
    return textAnswer(statusBadRequest, "expected 'mode', 'putVm' or 'removeVm'");
}

} // namespace pimentoward::standins
