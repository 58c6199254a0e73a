#include "Pimentoward/Request/Forwarder.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Request/ReplyJudge.h"

#include <algorithm>
#include <charconv>

namespace pimentoward {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
/// Tells a caller of a VM that knows no settings yet when to come back.
constexpr const char *unknownRetryAfterSeconds = "0.3";
/// How often replies that nobody waits for any more are looked through.
constexpr std::chrono::milliseconds sweepPeriod {50};

const log4cplus::Logger &requestLog()
{
    static const log4cplus::Logger log = Log::part("request");
    return log;
}

std::int64_t milliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

double ratioOf(Duration time, Duration usual)
{
    const std::chrono::duration<double> part = time;
    const std::chrono::duration<double> whole = usual;
    return whole.count() > 0 ? part.count() / whole.count() : 1;
}

} // namespace

bool Forwarder::WaitOrder::operator()(const ActiveRequest *a, const ActiveRequest *b) const
{
    return std::make_tuple(a->route->priority, a->readAt, a)
        < std::make_tuple(b->route->priority, b->readAt, b);
}

Forwarder::Forwarder(event_base *loop, const ForwarderSettings &settings, Metrics &metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_fleet(loop, settings.fleet, [this](BackendLink &link) { onRoom(link); })
    , m_chooser(settings.chooser)
    , m_timing(settings.timing)
    , m_latencies(settings.latencies)
    , m_environment {
          [this](const ServiceName &service, const std::vector<BackendServerId> &avoid,
                 SendPurpose purpose,
                 SteadyTime now) { return choose(service, avoid, purpose, now); },
          [this](const ServiceName &service, SteadyTime now) { return takeExtra(service, now); }}
    , m_roomTimer(loop, [this] { serveWaiting(); })
    , m_sweepTimer(loop, [this] { sweep(); })
    , m_metrics(metrics)
{ }

Forwarder::~Forwarder() = default;

void Forwarder::changeRoutes(RouteTablePtr routes)
{
    m_routes = std::move(routes);
    updateFleet();
}

void Forwarder::changeBackends(BackendListPtr backends)
{
    m_backends = std::move(backends);
    updateFleet();
}

void Forwarder::changeMembers(std::size_t members)
{
    m_members = members;
    updateFleet();
}

void Forwarder::changeRetryBudget(const SharedRetryBudget::Settings &settings)
{
    m_settings.retryBudget = settings;
    for (auto &[service, budget] : m_budgets) {
        budget.update(settings);
    }
}

void Forwarder::updateFleet()
{
    if (!canServe()) {
        return;
    }
    if (!m_settings.checks.outOfService && m_fleet.size() > 0) {
        return;
    }
    m_fleet.update(m_backends, m_routes, m_members);
    for (const auto &[service, records] : m_backends->byService) {
        m_hasRoom.insert(service);
    }
    m_roomTimer.startOnce(Duration::zero());
}

void Forwarder::onRequest(CallerConnection &caller, CallerConnection::Arrival arrival)
{
    const HttpHeaders &headers = arrival.request.headers;
    const RequestId id(headers.value(m_settings.headers.requestId));
    if (!canServe()) {
        refuse(caller, id, statusUnavailable, "no settings or backend servers known yet");
        return;
    }
    const Route *route = m_routes->find(headers.value("Host"), arrival.request.target);
    if (route == nullptr) {
        refuse(caller, id, statusNotFound, "no route");
        return;
    }
    if (id.empty()) {
        refuse(caller, id, statusBadRequest, "no request id");
        return;
    }
    begin(caller, std::move(arrival), *route, id);
}

void Forwarder::refuse(CallerConnection &caller, const RequestId &id, int status, const char *why)
{
    LOG4CPLUS_INFO(requestLog(),
                   "event=refused request=" << id << " status=" << status
                                            << " settings=" << (m_routes ? m_routes->version() : 0)
                                            << " reason=\"" << why << '"');
    m_metrics
        .counter("pimentoward_requests_refused_total", "Requests refused without being sent",
                 {{"status", std::to_string(status)}})
        .add();
    HttpReplyMessage reply;
    reply.status = status;
    if (status == statusUnavailable) {
        reply.headers.add("Retry-After", unknownRetryAfterSeconds);
    }
    caller.reply(std::move(reply));
}

Duration Forwarder::timeLeft(const Route &route, const HttpRequestMessage &request) const
{
    const std::string_view text = request.headers.value(m_settings.headers.timeLeft);
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    constexpr std::int64_t longest = 3'600'000;
    if (text.empty() || result.ec != std::errc() || value < 0) {
        return route.timeout;
    }
    return std::chrono::milliseconds(std::min(value, longest));
}

GatherPlan Forwarder::planFor(const Route &route, const CallerConnection::Arrival &arrival)
{
    GatherPlan plan;
    plan.isFanout = route.isFanout();
    plan.isIdempotent = route.isIdempotent || plan.isFanout;
    if (plan.isFanout) {
        plan.parts = route.shards;
    } else {
        plan.parts = {m_turns.next(route)};
    }
    plan.maxAttempts = route.maxAttempts;
    plan.leastCoverage = route.leastCoverage;
    plan.topRecords = route.topRecords;
    const AnswerTiming::Moments moments
        = m_timing.moments({arrival.readAt, timeLeft(route, arrival.request), route.timeout,
                            route.latencyObjective, arrival.isFirst});
    plan.answerBy = moments.answerBy;
    plan.deadline = moments.deadline;
    plan.refuseBy = arrival.readAt
        + std::chrono::duration_cast<Duration>(route.latencyObjective * m_settings.refuseShare);
    plan.hedgeDelay = m_latencies.hedgeDelay(route);
    return plan;
}

void Forwarder::begin(CallerConnection &caller, CallerConnection::Arrival arrival,
                      const Route &route, const RequestId &id)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    GatherPlan plan = planFor(route, arrival);
    for (const ServiceName &service : plan.parts) {
        budget(service).onRequest(now);
    }
    const SteadyTime deadline = plan.deadline;
    const Duration hedgeDelay = plan.hedgeDelay;
    const auto onTimer = [this, key = &caller] {
        ActiveRequest &timed = *m_requests.at(key);
        carryOut(timed, timed.gather.onTimer(std::chrono::steady_clock::now()));
    };
    auto owned = std::make_unique<ActiveRequest>(m_loop, std::move(plan), m_environment,
                                                 m_settings.checks.gather, onTimer);
    ActiveRequest &request = *owned;
    request.caller = &caller;
    request.routes = m_routes;
    request.route = &route;
    request.id = id;
    request.method = arrival.request.method;
    request.head = headFor(arrival.request);
    request.body = std::move(arrival.request.body);
    request.readAt = arrival.readAt;
    request.deadline = deadline;
    request.hedgeDelay = hedgeDelay;
    request.usualTime = m_latencies.usual(route);
    m_requests[&caller] = std::move(owned);
    carryOut(request, request.gather.start(now));
}

std::string Forwarder::headFor(const HttpRequestMessage &request) const
{
    HttpRequestMessage forwarded;
    forwarded.method = request.method;
    forwarded.target = request.target;
    forwarded.headers = request.headers;
    forwarded.headers.removeHopByHop();
    for (const std::string_view name :
         {std::string_view(m_settings.headers.timeLeft),
          std::string_view(m_settings.headers.expectedBackend), std::string_view("Expect")}) {
        forwarded.headers.remove(name);
    }
    return serializeHead(forwarded);
}

std::string Forwarder::bytesFor(const ActiveRequest &request, const BackendServerId &to,
                                SteadyTime now) const
{
    const Duration left = std::max(request.deadline - now, Duration(std::chrono::milliseconds(1)));
    std::string bytes = request.head;
    bytes += m_settings.headers.timeLeft + ": " + std::to_string(milliseconds(left)) + "\r\n";
    if (m_settings.checks.expectedBackend) {
        bytes += m_settings.headers.expectedBackend + ": " + to + "\r\n";
    }
    appendBody(bytes, request.method, request.body);
    return bytes;
}

void Forwarder::carryOut(ActiveRequest &request, GatherActions actions)
{
    for (GatherAction &action : actions) {
        if (const auto *sending = std::get_if<GatherSend>(&action)) {
            send(request, *sending);
        } else if (auto *ending = std::get_if<GatherFinish>(&action)) {
            finish(request, std::move(ending->outcome));
            return;
        }
    }
    noteWaiting(request);
    request.timer.startOnce(request.gather.nextTimer() - std::chrono::steady_clock::now());
}

void Forwarder::send(ActiveRequest &request, const GatherSend &send)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    BackendLink *link = m_fleet.link(send.to);
    Exchange exchange;
    exchange.request = &request;
    exchange.attempt = send.attempt;
    exchange.link = link;
    exchange.healthNumber = link->health().onSent(now, request.hedgeDelay);
    exchange.sentAt = now;
    exchange.usualTime = request.usualTime;
    exchange.routes = request.routes;
    exchange.route = request.route;
    m_exchanges.push_back(std::move(exchange));
    const auto position = std::prev(m_exchanges.end());
    BackendConnection::Exchange message;
    message.bytes = bytesFor(request, send.to, now);
    message.method = request.method;
    message.requestId = request.id;
    if (m_settings.checks.replyIdentity) {
        message.requestIdHeader = m_settings.headers.requestId;
    }
    position->connection
        = link->send(message, [this, position](ExchangeEnd end, HttpReplyMessage reply) {
              onExchangeEnded(position, end, std::move(reply));
          });
}

void Forwarder::onExchangeEnded(Exchanges::iterator position, ExchangeEnd end,
                                HttpReplyMessage reply)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    JudgedReply judged = judgeReply(end, std::move(reply), m_settings.headers);
    learn(*position, judged, now);
    ActiveRequest *request = position->request;
    const AttemptNumber attempt = position->attempt;
    m_exchanges.erase(position);
    if (request != nullptr) {
        carryOut(*request, request->gather.onReply(attempt, std::move(judged), now));
    }
}

void Forwarder::learn(const Exchange &exchange, const JudgedReply &reply, SteadyTime now)
{
    const Duration time = now - exchange.sentAt;
    BackendHealth &health = exchange.link->health();
    if (reply.kind == ReplyKind::Success) {
        health.onReplied(exchange.healthNumber, now, ratioOf(time, exchange.usualTime));
        m_latencies.add(*exchange.route, time);
    } else {
        health.onFailed(exchange.healthNumber, now);
    }
}

void Forwarder::finish(ActiveRequest &request, GatherOutcome outcome)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    log(request, outcome, now);
    m_metrics
        .counter("pimentoward_requests_total", "Requests answered",
                 {{"route", request.route->name},
                  {"code", std::to_string(static_cast<int>(outcome.reason.code))}})
        .add();
    m_metrics
        .distribution("pimentoward_request_seconds", "Time from reading a request to its answer",
                      {{"route", request.route->name}})
        .record(now - request.readAt);
    HttpReplyMessage reply = replyFor(request, outcome);
    CallerConnection &caller = *request.caller;
    detachExchanges(request, m_settings.lateReplyTime);
    remove(request);
    caller.reply(std::move(reply));
}

HttpReplyMessage Forwarder::replyFor(const ActiveRequest &request, GatherOutcome &outcome) const
{
    HttpReplyMessage reply = std::move(outcome.reply);
    reply.headers.removeHopByHop();
    if (!outcome.signatures.empty()) {
        std::string joined;
        for (const std::string &signature : outcome.signatures) {
            joined += joined.empty() ? "" : ", ";
            joined += signature;
        }
        reply.headers.add(m_settings.headers.partSignatures, joined);
        reply.headers.add(m_settings.headers.missingParts, std::to_string(outcome.missing));
    }
    if (!reply.headers.has(m_settings.headers.requestId)) {
        reply.headers.add(m_settings.headers.requestId, request.id);
    }
    return reply;
}

void Forwarder::log(const ActiveRequest &request, const GatherOutcome &outcome,
                    SteadyTime now) const
{
    LOG4CPLUS_INFO(requestLog(),
                   "event=answered request="
                       << request.id << " route=" << request.route->name << " settings="
                       << request.routes->version() << " status=" << outcome.reply.status
                       << " code=" << static_cast<int>(outcome.reason.code)
                       << " ms=" << milliseconds(now - request.readAt)
                       << " left_ms=" << milliseconds(request.deadline - now)
                       << " parts=" << outcome.parts << " missing=" << outcome.missing
                       << " missing_services=" << outcome.missingServices
                       << " sends=" << outcome.sends << " hedges=" << outcome.hedges << " retries="
                       << outcome.retries << " hedge_after_ms=" << milliseconds(request.hedgeDelay)
                       << " reason=\"" << outcome.reason.text << "\" last_failure=\""
                       << outcome.lastFailure << '"');
}

void Forwarder::detachExchanges(ActiveRequest &request, Duration keepFor)
{
    const SteadyTime giveUpAt = std::chrono::steady_clock::now() + keepFor;
    bool isAnyLeft = false;
    for (Exchange &exchange : m_exchanges) {
        if (exchange.request == &request) {
            exchange.request = nullptr;
            exchange.giveUpAt = giveUpAt;
            isAnyLeft = true;
        }
    }
    if (isAnyLeft) {
        m_sweepTimer.startOnce(sweepPeriod);
    }
}

void Forwarder::remove(ActiveRequest &request)
{
    m_waiting.erase(&request);
    request.timer.stop();
    const auto found = m_requests.find(request.caller);
    m_ended.push_back(std::move(found->second));
    m_requests.erase(found);
    m_roomTimer.startOnce(Duration::zero());
}

void Forwarder::onCallerGone(CallerConnection &caller)
{
    const auto found = m_requests.find(&caller);
    if (found == m_requests.end()) {
        return;
    }
    ActiveRequest &request = *found->second;
    const Duration age = std::chrono::steady_clock::now() - request.readAt;
    LOG4CPLUS_INFO(requestLog(),
                   "event=caller-gone request=" << request.id << " route=" << request.route->name
                                                << " ms=" << milliseconds(age));
    m_metrics.counter("pimentoward_callers_gone_total", "Callers that left before the answer")
        .add();
    detachExchanges(
        request, m_settings.checks.callerGone ? m_settings.callerGoneTime : std::chrono::hours(1));
    remove(request);
}

void Forwarder::noteWaiting(ActiveRequest &request)
{
    if (request.gather.isWaiting()) {
        m_waiting.insert(&request);
    } else {
        m_waiting.erase(&request);
    }
}

void Forwarder::onRoom(BackendLink &link)
{
    if (m_waiting.empty()) {
        return;
    }
    m_hasRoom.insert(link.record().service);
    m_roomTimer.startOnce(Duration::zero());
}

void Forwarder::serveWaiting()
{
    m_ended.clear();
    const SteadyTime now = std::chrono::steady_clock::now();
    std::set<ServiceName> services;
    services.swap(m_hasRoom);
    const std::vector<ActiveRequest *> waiting(m_waiting.begin(), m_waiting.end());
    for (ActiveRequest *request : waiting) {
        GatherActions actions = request->gather.onRoom(services, now);
        if (!actions.empty()) {
            carryOut(*request, std::move(actions));
        }
    }
}

void Forwarder::sweep()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    bool isAnyLeft = false;
    for (auto it = m_exchanges.begin(); it != m_exchanges.end();) {
        const auto exchange = it++;
        if (exchange->request != nullptr) {
            continue;
        }
        if (now < exchange->giveUpAt) {
            isAnyLeft = true;
            continue;
        }
        exchange->link->health().onFailed(exchange->healthNumber, now);
        m_latencies.add(*exchange->route, now - exchange->sentAt);
        exchange->link->cancel(exchange->connection);
        m_exchanges.erase(exchange);
    }
    m_fleet.removeEnded();
    if (isAnyLeft) {
        m_sweepTimer.startOnce(sweepPeriod);
    }
}

Gather::Choice Forwarder::choose(const ServiceName &service,
                                 const std::vector<BackendServerId> &avoid, SendPurpose purpose,
                                 SteadyTime now)
{
    std::vector<BackendChooser::Candidate> candidates;
    for (const BackendLink *link : m_fleet.linksOf(service)) {
        const BackendServerId &id = link->record().id;
        if (std::find(avoid.begin(), avoid.end(), id) != avoid.end()) {
            continue;
        }
        candidates.push_back({&id, link->record().failureDomain == m_settings.failureDomain,
                              link->isPreferred(), link->hasRoom(), link->health().isSuspect(now),
                              link->health().expectedSlowness(now)});
    }
    return m_chooser.choose(candidates, purpose);
}

SharedRetryBudget &Forwarder::budget(const ServiceName &service)
{
    return m_budgets.try_emplace(service, m_settings.retryBudget).first->second;
}

bool Forwarder::takeExtra(const ServiceName &service, SteadyTime now)
{
    return budget(service).take(now, m_members);
}

} // namespace pimentoward
