#include "Pimentoward/Connection/Owner.h"

#include "Pimentoward/Connection/BackendCall.h"
#include "Pimentoward/Connection/BackendDispatcher.h"
#include "Pimentoward/Connection/HttpClient.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/Timer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>

namespace pimentoward {

namespace {

/// Time past the deadline that a backend server may take to report its end.
constexpr std::chrono::milliseconds deadlineGrace {200};
constexpr std::chrono::milliseconds timerPeriod {5};

/// One subrequest from its arrival to its reply.
struct OwnedSubrequest
{
    std::shared_ptr<const SubrequestBatch> batch;
    SubrequestItem item;
    SteadyTime deadline;
    SteadyTime dispatched {};
};

Subreply failureReply(const OwnedSubrequest &subrequest, const Reason &reason)
{
    Subreply reply;
    reply.requestId = subrequest.batch->requestId;
    reply.number = subrequest.item.number;
    reply.shard = subrequest.item.shard;
    reply.backendServer = subrequest.item.backendServer;
    reply.version = subrequest.batch->version;
    reply.code = reason.code;
    reply.detail = reason.text;
    return reply;
}

} // namespace

struct Owner::State
{
    /// One backend server that this VM has owned since it started.
    struct Backend
    {
        Backend(event_base *loop, const BackendServer &description,
                const BackendDispatcher::Settings &settings)
            : client(loop, description.address)
            , dispatcher(settings)
        { }

        HttpClient client;
        BackendDispatcher dispatcher;
        std::map<DispatchToken, OwnedSubrequest> subrequests;
    };

    event_base *loop = nullptr;
    const Clock *clock = nullptr;
    ReplyHook reply;
    std::shared_ptr<const ControlView> view;
    std::unordered_map<BackendServerId, std::unique_ptr<Backend>> backends;
    DispatchToken nextToken = 1;
    std::unique_ptr<Timer> timer;
    log4cplus::Logger log = Log::part("owner");

    const BackendServer *describe(const SubrequestBatch &batch, const BackendServerId &id) const
    {
        const auto service = view->services.find(batch.service);
        if (service == view->services.end()) {
            return nullptr;
        }
        const auto server = service->second->backendServers.find(id);
        return server == service->second->backendServers.end() ? nullptr : &server->second;
    }

    Backend &backendFor(const SubrequestBatch &batch, const BackendServer &description)
    {
        auto &entry = backends[description.id];
        if (entry == nullptr) {
            BackendDispatcher::Settings settings;
            settings.slots = description.slots;
            settings.queueLimit = static_cast<std::size_t>(
                view->settings->integer(operator_settings::ownerQueueLimit, batch.service));
            entry = std::make_unique<Backend>(loop, description, settings);
        }
        return *entry;
    }

    std::optional<Reason> refusal(const BackendServer *description) const
    {
        if (description == nullptr) {
            return Reason {ResultCode::NotRunNotOwner, "the backend server is not known here"};
        }
        if (!view->hasContact(clock->now())) {
            return Reason {ResultCode::NotRunNoContact, {}};
        }
        if (!view->mayDispatch(description->id, clock->now())) {
            return Reason {ResultCode::NotRunNotOwner, {}};
        }
        if (description->leaving || view->settings->isOut(description->failureDomain)) {
            return Reason {ResultCode::NotRunLeaving, "the backend server is out of service"};
        }
        return std::nullopt;
    }

    void send(const OwnedSubrequest &subrequest, Subreply answer, const Backend *backend) const
    {
        if (backend != nullptr) {
            answer.load = backend->dispatcher.load();
        }
        reply(subrequest.batch->coordinator, answer);
    }

    void apply(Backend &backend, const BackendDispatcher::Actions &actions)
    {
        for (const BackendDispatcher::Action &action : actions) {
            if (const auto *dispatch = std::get_if<BackendDispatcher::Dispatch>(&action)) {
                this->dispatch(backend, dispatch->token);
            } else if (const auto *refuse = std::get_if<BackendDispatcher::Refuse>(&action)) {
                finish(backend, refuse->token, refuse->reason);
            } else if (const auto *stop = std::get_if<BackendDispatcher::CancelRunning>(&action)) {
                cancelRunning(backend, stop->token);
            }
        }
    }

    void finish(Backend &backend, DispatchToken token, const Reason &reason)
    {
        const auto found = backend.subrequests.find(token);
        const OwnedSubrequest subrequest = std::move(found->second);
        backend.subrequests.erase(found);
        send(subrequest, failureReply(subrequest, reason), &backend);
    }

    void dispatch(Backend &backend, DispatchToken token)
    {
        OwnedSubrequest &subrequest = backend.subrequests.at(token);
        // Checked directly before the send: the view may have aged while the subrequest waited.
        const SteadyTime now = clock->now();
        if (const auto refused
            = refusal(describe(*subrequest.batch, subrequest.item.backendServer))) {
            finish(backend, token, *refused);
            apply(backend, backend.dispatcher.onOutcome(token, {refused->code, {}, true}, now));
            return;
        }
        subrequest.dispatched = now;
        backend.client.send(
            BackendCall::run(*subrequest.batch, subrequest.item, subrequest.deadline - now,
                             deadlineGrace),
            [this, &backend, token](const std::optional<HttpAnswer> &answer, const Reason &reason) {
                onEnded(backend, token, answer, reason);
            });
    }

    void onEnded(Backend &backend, DispatchToken token, const std::optional<HttpAnswer> &answer,
                 const Reason &reason)
    {
        const auto found = backend.subrequests.find(token);
        const OwnedSubrequest subrequest = std::move(found->second);
        backend.subrequests.erase(found);
        const SteadyTime now = clock->now();
        const Subreply result = answer
            ? BackendCall::readReply(*subrequest.batch, subrequest.item, *answer)
            : failureReply(subrequest, reason);
        const bool isProved = answer.has_value() || reason.code == ResultCode::PeerUnreachable;
        const BackendDispatcher::Outcome outcome {result.code, now - subrequest.dispatched,
                                                  isProved};
        const auto actions = backend.dispatcher.onOutcome(token, outcome, now);
        send(subrequest, result, &backend);
        apply(backend, actions);
    }

    void cancelRunning(Backend &backend, DispatchToken token)
    {
        const OwnedSubrequest &subrequest = backend.subrequests.at(token);
        backend.client.send(
            BackendCall::cancel(subrequest.batch->requestId, subrequest.item.number, deadlineGrace),
            [](const std::optional<HttpAnswer> &, const Reason &) {});
    }

    void onTimer()
    {
        const SteadyTime now = clock->now();
        for (auto &[id, backend] : backends) {
            if (const auto due = backend->dispatcher.nextTimer(); due && *due <= now) {
                apply(*backend, backend->dispatcher.onTimer(now));
            }
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
    m_state->timer->startRepeating(timerPeriod);
}

Owner::~Owner() = default;

void Owner::updateView(std::shared_ptr<const ControlView> view)
{
    m_state->view = std::move(view);
}

void Owner::take(const SubrequestBatch &batch)
{
    const auto shared = std::make_shared<const SubrequestBatch>(batch);
    const SteadyTime now = m_state->clock->now();
    const SteadyTime deadline = now + batch.timeLeft;
    for (const SubrequestItem &item : batch.items) {
        OwnedSubrequest subrequest {shared, item, deadline, {}};
        const BackendServer *description = m_state->describe(batch, item.backendServer);
        if (const auto refused = m_state->refusal(description)) {
            m_state->send(subrequest, failureReply(subrequest, *refused), nullptr);
            continue;
        }
        State::Backend &backend = m_state->backendFor(batch, *description);
        const DispatchToken token = m_state->nextToken++;
        backend.subrequests[token] = std::move(subrequest);
        m_state->apply(backend,
                       backend.dispatcher.enqueue(token, batch.requestClass, deadline, now));
    }
}

void Owner::cancel(const SubrequestCancel &cancel)
{
    const SteadyTime now = m_state->clock->now();
    for (auto &[id, backend] : m_state->backends) {
        std::vector<DispatchToken> tokens;
        for (const auto &[token, subrequest] : backend->subrequests) {
            const bool isNamed
                = std::count(cancel.numbers.begin(), cancel.numbers.end(), subrequest.item.number)
                > 0;
            if (isNamed && subrequest.batch->requestId == cancel.requestId) {
                tokens.push_back(token);
            }
        }
        for (const DispatchToken token : tokens) {
            m_state->apply(*backend, backend->dispatcher.cancel(token, now));
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

nlohmann::json Owner::dump() const
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[id, backend] : m_state->backends) {
        const LoadReport load = backend->dispatcher.load();
        result[id] = {{"inFlight", backend->dispatcher.inFlight()},
                      {"limit", load.limit},
                      {"queue", load.queueLength},
                      {"cold", load.cold},
                      {"serviceTimeMicros", load.serviceTime.count()}};
    }
    return result;
}

} // namespace pimentoward
