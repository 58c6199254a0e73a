#include "Pimentoward/Request/Forwarder.h"

#include <algorithm>

namespace pimentoward {

namespace {

BackendSelector::Settings selectorSettings(const ForwarderSettings &settings)
{
    BackendSelector::Settings selector;
    selector.chooser = settings.chooser;
    selector.failureDomain = settings.failureDomain;
    selector.coldLimit = settings.checks.coldLimit;
    selector.leavingReplies = settings.checks.leavingReplies;
    selector.requestedPauses = settings.checks.requestedPauses;
    return selector;
}

HealthChecker::Settings healthCheckerSettings(const ForwarderSettings &settings)
{
    HealthChecker::Settings checker;
    checker.headers = settings.headers;
    return checker;
}

} // namespace

Forwarder::Forwarder(event_base *loop, const ForwarderSettings &settings, Metrics &metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_messages(settings.headers)
    , m_report(metrics)
    , m_fleet(loop, settings.fleet, [this](BackendLink &link) { onFreeCapacity(link); })
    , m_healthChecker(loop, healthCheckerSettings(settings),
                      [this](BackendLink &link, Duration left) { onBackendCold(link, left); })
    , m_rolloutTraffic(settings.rollouts)
    , m_selector(
          m_fleet, m_rolloutTraffic, selectorSettings(settings),
          [this](const ServiceName &service, SteadyTime time) { scheduleRetry(service, time); })
    , m_planner(settings.plans)
    , m_environment {[this](const ServiceName &service, const std::vector<BackendServerId> &avoid,
                            SendPurpose purpose, SteadyTime now) {
                         return m_selector.choose(service, avoid, purpose, now);
                     },
                     [this](const ServiceName &service, SteadyTime now) {
                         return acquireExtraRequest(service, now);
                     }}
    , m_dispatchTimer(loop, [this] { dispatchWaiting(); })
    , m_retryTimer(loop, [this] { dispatchWaiting(); })
    , m_expiryTimer(loop, [this] { cancelExpiredExchanges(); })
{ }

Forwarder::~Forwarder() = default;

void Forwarder::changeRoutes(RouteTablePtr routes)
{
    m_routes = std::move(routes);
    refuseUnknownCallers();
    updateFleet();
}

void Forwarder::changeBackends(BackendListPtr backends)
{
    m_backends = std::move(backends);
    updateFleet();
}

void Forwarder::changeMembers(std::vector<MemberId> members)
{
    m_members = std::move(members);
    m_healthChecker.changeVms(m_members.size());
    updateFleet();
}

void Forwarder::changeRecordsOutdated(bool areOutdated)
{
    m_healthChecker.changeRecordsOutdated(areOutdated && m_settings.checks.healthChecks);
}

void Forwarder::changeSharedLimits(const SharedRetryBudget::Settings &retries,
                                   const ColdLimit::Settings &cold)
{
    m_settings.retryBudget = retries;
    for (auto &[service, budget] : m_budgets) {
        budget.update(retries);
    }
    m_fleet.changeColdSettings(cold);
    updateFleet();
}

void Forwarder::changeLastAnswerTime(SteadyTime time)
{
    m_planner.changeLastAnswerTime(time);
    for (const auto &[caller, request] : m_requests) {
        request->endBy(time);
        startTimer(*request);
    }
}

void Forwarder::startTimer(ActiveRequest &request)
{
    request.timer.startOnce(request.gather.nextTimer() - std::chrono::steady_clock::now());
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
    m_rolloutTraffic.update(m_backends, m_rollouts, m_members, std::chrono::steady_clock::now());
    for (const auto &[service, records] : m_backends->byService) {
        m_servicesWithCapacity.insert(service);
    }
    m_dispatchTimer.startOnce(Duration::zero());
}

void Forwarder::carryOut(ActiveRequest &request, GatherActions actions)
{
    for (GatherAction &action : actions) {
        if (const auto *sendAction = std::get_if<GatherSend>(&action)) {
            send(request, *sendAction);
        } else if (auto *finishAction = std::get_if<GatherFinish>(&action)) {
            finish(request, std::move(finishAction->outcome));
            return;
        }
    }
    updateWaiting(request);
    startTimer(request);
}

void Forwarder::finish(ActiveRequest &request, GatherOutcome outcome)
{
    m_report.onAnswered(request, outcome, std::chrono::steady_clock::now());
    HttpReplyMessage reply = m_messages.reply(outcome, request.id);
    CallerConnection &caller = *request.caller;
    detachExchanges(request, m_settings.lateReplyTime);
    remove(request);
    caller.reply(std::move(reply));
}

void Forwarder::remove(ActiveRequest &request)
{
    m_waiting.remove(&request);
    request.timer.stop();
    const auto found = m_requests.find(request.caller);
    m_endedRequests.push_back(std::move(found->second));
    m_requests.erase(found);
    m_dispatchTimer.startOnce(Duration::zero());
}

void Forwarder::onCallerGone(CallerConnection &caller)
{
    const auto found = m_requests.find(&caller);
    if (found == m_requests.end()) {
        m_undecided.remove_if([&](const Undecided &entry) { return entry.caller == &caller; });
        return;
    }
    ActiveRequest &request = *found->second;
    m_report.onCallerGone(request, std::chrono::steady_clock::now());
    detachExchanges(
        request, m_settings.checks.callerGone ? m_settings.callerGoneTime : std::chrono::hours(1));
    remove(request);
}

void Forwarder::reportCutRequests()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    for (const auto &[caller, request] : m_requests) {
        m_report.onCut(*request, now);
    }
}

void Forwarder::updateWaiting(ActiveRequest &request)
{
    if (request.gather.isWaiting()) {
        m_waiting.add(&request, request.urgency);
    } else {
        m_waiting.remove(&request);
    }
}

void Forwarder::onFreeCapacity(BackendLink &link)
{
    if (m_waiting.isEmpty()) {
        return;
    }
    m_servicesWithCapacity.insert(link.record().service);
    m_dispatchTimer.startOnce(Duration::zero());
}

void Forwarder::dispatchWaiting()
{
    m_endedRequests.clear();
    const SteadyTime now = std::chrono::steady_clock::now();
    std::set<ServiceName> services;
    services.swap(m_servicesWithCapacity);
    for (ActiveRequest *request : m_waiting.inOrder(now)) {
        GatherActions actions = request->gather.onFreeCapacity(services, now);
        if (!actions.empty()) {
            carryOut(*request, std::move(actions));
        }
    }
}

void Forwarder::scheduleRetry(const ServiceName &service, SteadyTime time)
{
    m_servicesWithCapacity.insert(service);
    if (!m_retryTimer.isPending() || time < m_retryAt) {
        m_retryAt = time;
        m_retryTimer.startOnce(std::max(time - std::chrono::steady_clock::now(), Duration::zero()));
    }
}

SharedRetryBudget &Forwarder::budget(const ServiceName &service)
{
    return m_budgets.try_emplace(service, m_settings.retryBudget).first->second;
}

bool Forwarder::acquireExtraRequest(const ServiceName &service, SteadyTime now)
{
    return budget(service).tryAcquire(now, std::max<std::size_t>(1, m_members.size()));
}

} // namespace pimentoward
