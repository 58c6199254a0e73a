#include "Pimentoward/Connection/RetryAfter.h"
#include "Pimentoward/Request/Forwarder.h"

#include <algorithm>

namespace pimentoward {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
/// Time after which a request that has arrived before this VM knows any settings may be sent again.
constexpr std::chrono::milliseconds noSettingsRetryAfter {300};
/// A request that this VM refuses because it stops may be sent to another VM at once.
constexpr std::chrono::milliseconds stoppingRetryAfter {0};

} // namespace

void Forwarder::onRequest(CallerConnection &caller, CallerConnection::Arrival arrival)
{
    const HttpHeaders &headers = arrival.request.headers;
    const RequestId id(headers.value(m_settings.headers.requestId));
    if (!canServe() && m_settings.checks.settingsFirst) {
        refuse(
            caller, id,
            {statusUnavailable, "no settings or backend servers known yet", noSettingsRetryAfter});
        return;
    }
    const Route *route
        = m_routes ? m_routes->find(headers.value("Host"), arrival.request.target) : nullptr;
    if (route == nullptr) {
        refuse(caller, id, {statusNotFound, "no route for this host and path", {}});
        return;
    }
    auto identity = identifyCaller(headers, m_settings.headers, *m_routes, *route);
    if (!identity) {
        refuse(caller, id, {statusUnauthorized, "no workspace holds the caller's key", {}});
        return;
    }
    if (id.empty()) {
        refuse(caller, id, {statusBadRequest, "the request has no request id", {}});
        return;
    }
    admit({0, &caller, std::move(arrival), m_routes, route, std::move(*identity), id});
}

void Forwarder::admit(Undecided request)
{
    const Workspace *workspace = request.identity.workspace;
    if (m_admission == nullptr || workspace == nullptr || !workspace->limit.isLimited()) {
        startRequest(std::move(request));
        return;
    }
    const std::uint64_t number = ++m_lastUndecided;
    request.number = number;
    const SteadyTime answerBy = request.arrival.readAt + request.route->latencyObjective;
    m_undecided.push_back(std::move(request));
    m_admission->admit(*workspace, std::chrono::steady_clock::now(), answerBy,
                       [this, number](const RequestAdmission::Decision &decision) {
                           onDecision(number, decision);
                       });
}

void Forwarder::onDecision(std::uint64_t number, const RequestAdmission::Decision &decision)
{
    const auto found = std::find_if(m_undecided.begin(), m_undecided.end(),
                                    [&](const Undecided &entry) { return entry.number == number; });
    if (found == m_undecided.end()) {
        // The caller has left.
        return;
    }
    Undecided request = std::move(*found);
    m_undecided.erase(found);
    if (decision.isAdmitted) {
        startRequest(std::move(request));
        return;
    }
    refuse(*request.caller, request.id,
           {statusTooManyRequests, "over the rate limit of its workspace", decision.retryAfter});
}

void Forwarder::refuseUnknownCallers()
{
    if (!m_routes->workspaces().requiresKeys()) {
        return;
    }
    const auto isUnknown = [this](const CallerIdentity &identity) {
        return identity.workspace != nullptr
            && m_routes->workspaces().find(identity.key) == nullptr;
    };
    std::vector<ActiveRequest *> unknown;
    for (const auto &[caller, request] : m_requests) {
        if (request->gather.isUnsent() && isUnknown(request->identity)) {
            unknown.push_back(request.get());
        }
    }
    const Refusal refusal {statusUnauthorized, "no workspace holds the caller's key any more", {}};
    for (ActiveRequest *request : unknown) {
        CallerConnection &caller = *request->caller;
        const RequestId id = request->id;
        remove(*request);
        refuse(caller, id, refusal);
    }
    for (auto entry = m_undecided.begin(); entry != m_undecided.end();) {
        const auto current = entry++;
        if (isUnknown(current->identity)) {
            const Undecided request = std::move(*current);
            m_undecided.erase(current);
            refuse(*request.caller, request.id, refusal);
        }
    }
}

void Forwarder::refuse(CallerConnection &caller, const RequestId &id, const Refusal &refusal)
{
    m_report.onRefused(id, refusal.status, m_routes ? m_routes->revision() : 0, refusal.reason);
    HttpReplyMessage reply;
    reply.status = refusal.status;
    if (refusal.retryAfter) {
        reply.headers.add("Retry-After", retryAfterText(*refusal.retryAfter));
    }
    caller.reply(std::move(reply));
}

void Forwarder::startRequest(Undecided arrived)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    CallerConnection &caller = *arrived.caller;
    CallerConnection::Arrival &arrival = arrived.arrival;
    const Workspace *workspace = arrived.identity.workspace;
    const RequestPlan plan
        = m_planner.plan(*arrived.route,
                         {arrival.readAt, m_messages.timeLeft(arrival.request), arrival.isFirst,
                          workspace == nullptr ? std::nullopt : workspace->priority});
    for (const ServiceName &service : plan.gather.parts) {
        budget(service).onRequest(now);
    }
    if (!plan.canBeAnswered) {
        refuse(caller, arrived.id,
               {statusUnavailable, "this VM stops before the request can be answered",
                stoppingRetryAfter});
        return;
    }
    const auto onTimer = [this, key = &caller] {
        ActiveRequest &active = *m_requests.at(key);
        carryOut(active, active.gather.onTimer(std::chrono::steady_clock::now()));
    };
    auto owned = std::make_unique<ActiveRequest>(m_loop, plan, m_environment,
                                                 m_settings.checks.gather, onTimer);
    ActiveRequest &request = *owned;
    request.caller = &caller;
    request.routes = std::move(arrived.routes);
    request.route = arrived.route;
    request.identity = std::move(arrived.identity);
    request.id = arrived.id;
    request.method = arrival.request.method;
    request.head = m_messages.head(arrival.request, request.routes->workspaces().requiresKeys(),
                                   workspace == nullptr ? std::string() : workspace->name);
    request.body = std::move(arrival.request.body);
    request.readAt = arrival.readAt;
    m_requests[&caller] = std::move(owned);
    carryOut(request, request.gather.start(now));
}

} // namespace pimentoward
