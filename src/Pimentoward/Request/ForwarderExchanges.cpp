// The part of Forwarder that sends attempts to backend servers and handles how they end.

#include "Pimentoward/Request/Forwarder.h"
#include "Pimentoward/Request/ReplyClassifier.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Minimum remaining time stated to a backend server, however little is left.
constexpr Duration minTimeLeft = std::chrono::milliseconds(1);
/// Interval at which exchanges whose request has ended are checked for expiry.
constexpr std::chrono::milliseconds expiryCheckPeriod {50};

double ratioOf(Duration time, Duration median)
{
    const std::chrono::duration<double> seconds = time;
    const std::chrono::duration<double> medianSeconds = median;
    return medianSeconds.count() > 0 ? seconds.count() / medianSeconds.count() : 1;
}

} // namespace

void Forwarder::send(ActiveRequest &request, const GatherSend &send)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    BackendLink *link = m_fleet.link(send.backend);
    Exchange exchange;
    exchange.request = &request;
    exchange.attempt = send.attempt;
    exchange.link = link;
    link->coldLimit().onSent(now);
    exchange.healthNumber = link->health().onSent(now, request.hedgeDelay);
    exchange.sentAt = now;
    exchange.medianTime = request.medianTime;
    exchange.routes = request.routes;
    exchange.route = request.route;
    m_exchanges.push_back(std::move(exchange));
    const auto position = std::prev(m_exchanges.end());
    BackendConnection::Exchange message;
    const SteadyTime countedFrom = m_settings.checks.timeLeft ? now : request.readAt;
    const Duration remaining = std::max(request.deadline - countedFrom, minTimeLeft);
    const BackendServerId expectedBackend
        = m_settings.checks.expectedBackend ? send.backend : BackendServerId();
    message.bytes = m_messages.request(request.head, request.method, request.body, expectedBackend,
                                       remaining);
    message.method = request.method;
    message.requestId = request.id;
    if (m_settings.checks.replyIdentity) {
        message.requestIdHeader = m_settings.headers.requestId;
    }
    position->connection
        = link->send(message, [this, position](ExchangeOutcome outcome, HttpReplyMessage reply) {
              onExchangeEnded(position, outcome, std::move(reply));
          });
    m_healthChecker.onUsed(*link, now);
    m_rolloutTraffic.onSent(link->record().service, link->record().version);
}

void Forwarder::onExchangeEnded(Exchanges::iterator position, ExchangeOutcome outcome,
                                HttpReplyMessage reply)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    ClassifiedReply classified = classifyReply(outcome, std::move(reply), m_settings.headers);
    recordReply(*position, classified, now);
    m_healthChecker.onUsed(*position->link, now);
    ActiveRequest *request = position->request;
    const AttemptNumber attempt = position->attempt;
    m_exchanges.erase(position);
    if (request != nullptr) {
        carryOut(*request, request->gather.onReply(attempt, std::move(classified), now));
    }
}

void Forwarder::onBackendCold(BackendLink &link, Duration coldLeft)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    m_report.onBackendCold(link.record(), coldLeft);
    link.coldLimit().changeReportedColdUntil(now + coldLeft);
}

void Forwarder::recordFailure(const Exchange &exchange, const char *reason, SteadyTime now)
{
    if (exchange.link->health().onFailed(exchange.healthNumber, now)) {
        const RequestId id = exchange.request != nullptr ? exchange.request->id : RequestId();
        m_report.onBackendFailing(exchange.link->record(), id, reason);
    }
}

void Forwarder::recordReply(const Exchange &exchange, const ClassifiedReply &reply, SteadyTime now)
{
    const Duration time = now - exchange.sentAt;
    countForRollout(exchange, reply.kind, now);
    BackendHealth &health = exchange.link->health();
    if (reply.kind == ReplyKind::Success) {
        if (health.onReplied(exchange.healthNumber, now, ratioOf(time, exchange.medianTime))) {
            m_report.onBackendHealthy(exchange.link->record());
        }
        exchange.link->concurrencyLimit().onReply(exchange.sentAt, now,
                                                  exchange.route->latencyObjective);
        m_planner.onReply(*exchange.route, time);
    } else {
        recordFailure(exchange, reply.reason, now);
    }
    if (reply.isMisdirected && m_settings.checks.misdirected) {
        exchange.link->onMisdirected();
    }
    if (reply.isLeaving && m_fleet.onLeaving(*exchange.link)) {
        m_report.onBackendLeaving(exchange.link->record());
    }
    if (reply.pause && m_fleet.onPauseRequested(*exchange.link, now + *reply.pause)) {
        m_report.onBackendPaused(exchange.link->record(), *reply.pause);
    }
}

void Forwarder::detachExchanges(ActiveRequest &request, Duration keepFor)
{
    const SteadyTime expiresAt = std::chrono::steady_clock::now() + keepFor;
    bool hasRemaining = false;
    for (Exchange &exchange : m_exchanges) {
        if (exchange.request == &request) {
            exchange.request = nullptr;
            exchange.expiresAt = expiresAt;
            hasRemaining = true;
        }
    }
    if (hasRemaining) {
        m_expiryTimer.startOnce(expiryCheckPeriod);
    }
}

void Forwarder::cancelExpiredExchanges()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    bool hasRemaining = false;
    for (auto it = m_exchanges.begin(); it != m_exchanges.end();) {
        const auto exchange = it++;
        if (exchange->request != nullptr) {
            continue;
        }
        if (now < exchange->expiresAt) {
            hasRemaining = true;
            continue;
        }
        recordFailure(*exchange, "no reply in time", now);
        countForRollout(*exchange, ReplyKind::Unknown, now);
        m_planner.onReply(*exchange->route, now - exchange->sentAt);
        exchange->link->cancel(exchange->connection);
        m_exchanges.erase(exchange);
    }
    m_fleet.removeDrained();
    if (hasRemaining) {
        m_expiryTimer.startOnce(expiryCheckPeriod);
    }
}

} // namespace pimentoward
