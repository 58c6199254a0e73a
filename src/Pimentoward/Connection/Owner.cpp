#include "Pimentoward/Connection/Owner.h"

#include "Pimentoward/Connection/BackendCall.h"
#include "Pimentoward/Connection/OwnedBackend.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/Timer.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <unordered_map>

namespace pimentoward {

namespace {

/// Time after the deadline within which a backend server may still report the end of the work.
constexpr std::chrono::milliseconds deadlineGrace {200};
/// How often the dispatchers' timers are checked while any of them is set.
constexpr std::chrono::milliseconds timerPeriod {5};
/// How long a backend server counts as leaving after its last reply that said so.
constexpr std::chrono::seconds leavingPeriod {60};

} // namespace

struct Owner::State
{
    /// The backend server and the token of an accepted subrequest.
    struct Location
    {
        OwnedBackend *backend = nullptr;
        DispatchToken token = 0;
    };

    event_base *loop = nullptr;
    const Clock *clock = nullptr;
    ReplyHook reply;
    std::shared_ptr<const ControlView> view;
    std::unordered_map<BackendServerId, std::unique_ptr<OwnedBackend>> backends;
    /// The key is BackendCall::subrequestId().
    std::unordered_map<std::string, Location> locations;
    DispatchToken nextToken = 1;
    std::unique_ptr<Timer> timer;
    bool isTimerArmed = false;
    log4cplus::Logger log = Log::part("owner");

    const BackendServer *findServer(const ServiceName &service, const BackendServerId &id) const
    {
        if (view == nullptr) {
            return nullptr;
        }
        const auto found = view->services.find(service);
        if (found == view->services.end()) {
            return nullptr;
        }
        const auto server = found->second->backendServers.find(id);
        return server == found->second->backendServers.end() ? nullptr : &server->second;
    }

    BackendDispatcher::Settings dispatcherSettings(const ServiceName &service,
                                                   const BackendServer &server) const
    {
        BackendDispatcher::Settings settings;
        settings.slots = server.slots;
        settings.grace = deadlineGrace;
        const SettingsDocument &operatorSettings = *view->settings;
        settings.queueLimit = static_cast<std::size_t>(
            operatorSettings.integer(operator_settings::ownerQueueLimit, service));
        settings.coldLimit = operatorSettings.integer(operator_settings::coldLimit, service);
        settings.coldFactor = operatorSettings.real(operator_settings::coldFactor, service);
        return settings;
    }

    OwnedBackend &backendFor(const SubrequestBatch &batch, const BackendServer &server)
    {
        auto &entry = backends[server.id];
        if (entry == nullptr) {
            entry = std::make_unique<OwnedBackend>(loop, *clock, batch.service, server,
                                                   dispatcherSettings(batch.service, server));
        }
        return *entry;
    }

    bool isLeaving(const ServiceName &service, const BackendServer &server) const
    {
        const auto known = backends.find(server.id);
        const bool isReportedLeaving
            = known != backends.end() && clock->now() < known->second->leavingUntil;
        return isReportedLeaving || view->settings->isOutOfService(server.failureDomain)
            || !view->services.at(service)->canAcceptNewWork(server, clock->wallNow());
    }

    /// Returns the reason why no work may be dispatched to the backend server now, or nothing if
    /// work may be dispatched.
    std::optional<Reason> refusalReason(const ServiceName &service,
                                        const BackendServer *server) const
    {
        if (server == nullptr) {
            return Reason {ResultCode::NotRunNotOwner, "this VM does not know the backend server"};
        }
        if (!view->hasContact(clock->now())) {
            return Reason {ResultCode::NotRunNoContact, {}};
        }
        if (!view->mayDispatch(server->id, clock->now())) {
            return Reason {ResultCode::NotRunNotOwner, {}};
        }
        if (isLeaving(service, *server)) {
            return Reason {ResultCode::NotRunLeaving, "the backend server is out of service"};
        }
        return std::nullopt;
    }

    void sendReply(const OwnedSubrequest &subrequest, Subreply subreply,
                   const OwnedBackend *backend) const
    {
        if (backend != nullptr) {
            subreply.load = backend->dispatcher.load();
        }
        reply(subrequest.batch->coordinator, subreply);
    }

    void add(OwnedBackend &backend, OwnedSubrequest subrequest)
    {
        const DispatchToken token = nextToken++;
        const RequestClass requestClass = subrequest.batch->requestClass;
        const SteadyTime deadline = subrequest.deadline;
        locations[subrequest.id()] = {&backend, token};
        backend.subrequests.emplace(token, std::move(subrequest));
        apply(backend, backend.dispatcher.enqueue(token, requestClass, deadline, clock->now()));
    }

    OwnedSubrequest remove(OwnedBackend &backend, DispatchToken token)
    {
        const auto found = backend.subrequests.find(token);
        OwnedSubrequest subrequest = std::move(found->second);
        backend.subrequests.erase(found);
        const auto location = locations.find(subrequest.id());
        if (location != locations.end() && location->second.token == token) {
            locations.erase(location);
        }
        return subrequest;
    }

    /// Starts the timer if the dispatcher needs it. An idle owner has no running timer.
    void armTimer(const OwnedBackend &backend)
    {
        if (!isTimerArmed && backend.dispatcher.nextTimer()) {
            isTimerArmed = true;
            timer->startOnce(timerPeriod);
        }
    }

    void apply(OwnedBackend &backend, const BackendDispatcher::Actions &actions)
    {
        armTimer(backend);
        for (const BackendDispatcher::Action &action : actions) {
            if (const auto *dispatch = std::get_if<BackendDispatcher::Dispatch>(&action)) {
                this->dispatch(backend, dispatch->token);
            } else if (const auto *refuse = std::get_if<BackendDispatcher::Refuse>(&action)) {
                const OwnedSubrequest subrequest = remove(backend, refuse->token);
                sendReply(subrequest, subrequest.failureReply(refuse->reason), &backend);
            } else if (const auto *cancelAction
                       = std::get_if<BackendDispatcher::CancelRunning>(&action)) {
                cancelRunning(backend, cancelAction->token);
            }
        }
    }

    void dispatch(OwnedBackend &backend, DispatchToken token)
    {
        backend.pool.send(
            [this, &backend, token](Reason &reason) { return makeCall(backend, token, reason); },
            backend.subrequests.at(token).deadline,
            [this, &backend, token](const std::optional<HttpAnswer> &answer, const Reason &reason) {
                onEnded(backend, token, answer, reason);
            });
    }

    /// Builds the call immediately before it is sent, because the view may have expired while the
    /// subrequest waited and the time left must be current. Returns nothing, with a reason, if the
    /// subrequest must not be sent.
    std::optional<HttpCall> makeCall(OwnedBackend &backend, DispatchToken token,
                                     Reason &reason) const
    {
        OwnedSubrequest &subrequest = backend.subrequests.at(token);
        if (subrequest.isCancelled) {
            reason = {ResultCode::NotRunCancelled, "cancelled before dispatch"};
            return std::nullopt;
        }
        const BackendServer *server = findServer(backend.service, backend.description.id);
        if (const auto refusal = refusalReason(backend.service, server)) {
            reason = *refusal;
            return std::nullopt;
        }
        subrequest.sentAt = clock->now();
        // When an owner stops responding, the next owner waits for `maxDispatchTime` before it
        // dispatches. No dispatch may take longer than that.
        const Duration timeLeft
            = std::min<Duration>(subrequest.deadline - *subrequest.sentAt, view->maxDispatchTime);
        return BackendCall::run(*subrequest.batch, subrequest.item, timeLeft, deadlineGrace);
    }

    void onEnded(OwnedBackend &backend, DispatchToken token,
                 const std::optional<HttpAnswer> &answer, const Reason &reason)
    {
        const OwnedSubrequest subrequest = remove(backend, token);
        const SteadyTime now = clock->now();
        const Subreply result = answer
            ? BackendCall::readReply(*subrequest.batch, subrequest.item, *answer)
            : subrequest.failureReply(reason);
        BackendDispatcher::Outcome outcome;
        outcome.code = result.code;
        outcome.serviceTime = now - subrequest.sentAt.value_or(now);
        outcome.isEndProved = BackendCall::provesEnd(result.code, answer.has_value());
        if (answer) {
            outcome.incarnation = BackendCall::incarnation(*answer);
            updateLeaving(backend, *answer, now);
        }
        if (result.code == ResultCode::WrongReply) {
            // A connection that delivers answers one call late would continue to do so.
            backend.pool.closeIdle();
        }
        const auto actions = backend.dispatcher.onOutcome(token, outcome, now);
        sendReply(subrequest, result, &backend);
        apply(backend, actions);
    }

    void updateLeaving(OwnedBackend &backend, const HttpAnswer &answer, SteadyTime now)
    {
        if (!BackendCall::isLeaving(answer)) {
            backend.leavingUntil = {};
            return;
        }
        if (now >= backend.leavingUntil) {
            LOG4CPLUS_INFO(log, "Backend server " << backend.description.id << " is leaving");
        }
        backend.leavingUntil = now + leavingPeriod;
        apply(backend,
              backend.dispatcher.refuseAll(
                  {ResultCode::NotRunLeaving, "the backend server is leaving"}));
    }

    void cancelRunning(OwnedBackend &backend, DispatchToken token)
    {
        OwnedSubrequest &subrequest = backend.subrequests.at(token);
        subrequest.isCancelled = true;
        if (!subrequest.sentAt) {
            return;
        }
        backend.pool.sendCancel(
            BackendCall::cancel(subrequest.batch->requestId, subrequest.item.number, deadlineGrace),
            [this, &backend, token](const std::optional<HttpAnswer> &answer, const Reason &) {
                if (answer && BackendCall::acknowledgesCancel(*answer)) {
                    apply(backend, backend.dispatcher.onCancelAcknowledged(token, clock->now()));
                }
            });
    }

    /// Applies the new view to one backend server. `couldDispatch` is true if the previous view
    /// still permits dispatches to it.
    void applyView(OwnedBackend &backend, bool couldDispatch)
    {
        const BackendServer *server = findServer(backend.service, backend.description.id);
        if (server != nullptr) {
            backend.dispatcher.updateSettings(dispatcherSettings(backend.service, *server));
        }
        if (const auto refusal = refusalReason(backend.service, server)) {
            apply(backend, backend.dispatcher.refuseAll(*refusal));
            backend.pool.closeIdle();
        } else if (!couldDispatch) {
            // Another owner may have used the backend server in the meantime.
            backend.dispatcher.assumeCold();
            backend.pool.onOwnershipRegained();
        }
    }

    void onTimer()
    {
        isTimerArmed = false;
        const SteadyTime now = clock->now();
        for (auto &[id, backend] : backends) {
            if (const auto due = backend->dispatcher.nextTimer(); due && *due <= now) {
                apply(*backend, backend->dispatcher.onTimer(now));
            }
            armTimer(*backend);
        }
    }
};

Owner::Owner(event_base *loop, const Clock &clock, ReplyHook reply)
    : m_state(std::make_unique<State>())
{
    m_state->loop = loop;
    m_state->clock = &clock;
    m_state->reply = std::move(reply);
    m_state->timer = std::make_unique<Timer>(loop, [state = m_state.get()] { state->onTimer(); });
}

Owner::~Owner() = default;

void Owner::updateView(std::shared_ptr<const ControlView> view)
{
    const SteadyTime now = m_state->clock->now();
    const std::shared_ptr<const ControlView> previous = std::move(m_state->view);
    m_state->view = std::move(view);
    for (auto &[id, backend] : m_state->backends) {
        m_state->applyView(*backend, previous->mayDispatch(id, now));
    }
}

void Owner::accept(const SubrequestBatch &batch)
{
    const auto sharedBatch = std::make_shared<const SubrequestBatch>(batch);
    const SteadyTime deadline = m_state->clock->now() + batch.timeLeft;
    for (const SubrequestItem &item : batch.items) {
        OwnedSubrequest subrequest {sharedBatch, item, deadline, {}, false};
        const BackendServer *server = m_state->findServer(batch.service, item.backendServer);
        if (const auto refusal = m_state->refusalReason(batch.service, server)) {
            m_state->sendReply(subrequest, subrequest.failureReply(*refusal), nullptr);
        } else {
            m_state->add(m_state->backendFor(batch, *server), std::move(subrequest));
        }
    }
}

void Owner::cancel(const SubrequestCancel &cancel)
{
    const SteadyTime now = m_state->clock->now();
    for (const std::uint32_t number : cancel.numbers) {
        const auto found
            = m_state->locations.find(BackendCall::subrequestId(cancel.requestId, number));
        if (found != m_state->locations.end()) {
            const State::Location location = found->second;
            m_state->apply(*location.backend,
                           location.backend->dispatcher.cancel(location.token, now));
        }
    }
}

std::size_t Owner::inFlight() const
{
    std::size_t total = 0;
    for (const auto &[id, backend] : m_state->backends) {
        total += backend->dispatcher.inFlight();
    }
    return total;
}

std::set<BackendServerId> Owner::busyBackendServers() const
{
    std::set<BackendServerId> result;
    for (const auto &[id, backend] : m_state->backends) {
        if (backend->dispatcher.inFlight() > 0) {
            result.insert(id);
        }
    }
    return result;
}

nlohmann::json Owner::dump() const
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[id, backend] : m_state->backends) {
        const LoadReport load = backend->dispatcher.load();
        result[id] = {{"inFlight", backend->dispatcher.inFlight()},
                      {"limit", load.limit},
                      {"queue", load.queueLength},
                      {"cold", load.cold},
                      {"connections", backend->pool.connections()},
                      {"serviceTimeMicros", load.serviceTime.count()}};
    }
    return result;
}

} // namespace pimentoward
