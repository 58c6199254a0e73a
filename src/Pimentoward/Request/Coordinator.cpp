#include "Pimentoward/Request/Coordinator.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/Timer.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <unordered_map>

namespace pimentoward {

namespace {

/// Share of the entry queue up to which queries of a class are accepted.
double entryQueueShare(RequestClass requestClass)
{
    constexpr double eveningShare = 0.75;
    constexpr double batchShare = 0.5;
    switch (requestClass) {
    case RequestClass::Interactive:
        break;
    case RequestClass::Evening:
        return eveningShare;
    case RequestClass::Batch:
        return batchShare;
    }
    return 1;
}

} // namespace

struct Coordinator::State
{
    /// One query from its arrival to its answer.
    struct RunningQuery
    {
        RunningQuery(const CallerRequest &request, CoordinatorService &owningService,
                     QueryPlan plan, AnswerHook hook)
            : service(owningService)
            , gather(std::move(plan), owningService.environment())
            , answer(std::move(hook))
            , body(request.backendBody())
            , requestClass(request.requestClass)
        { }

        CoordinatorService &service;
        ScatterGather gather;
        AnswerHook answer;
        /// The JSON text that is sent to every backend server.
        std::string body;
        RequestClass requestClass;
        /// The time of its entry in `timers`.
        SteadyTime timerAt {};
    };

    /// The subrequests that are sent to one owner.
    struct Outgoing
    {
        SubrequestBatch batch;
        /// Number of primary subrequests in the batch.
        unsigned primaries = 0;
    };
    using OutgoingByOwner = std::map<MemberId, Outgoing>;

    /// Totals since the start.
    struct Counters
    {
        std::uint64_t queries = 0;
        std::uint64_t hedges = 0;
        std::uint64_t retries = 0;
        std::uint64_t restarts = 0;
        std::uint64_t lateReplies = 0;
        std::uint64_t discardedReplies = 0;
    };

    const Clock *clock = nullptr;
    MemberId self;
    std::string requestPrefix;
    Hooks hooks;
    Settings settings;
    std::shared_ptr<const ControlView> view;
    ReplicaChooser chooser;
    std::map<ServiceName, std::unique_ptr<CoordinatorService>> services;
    std::unordered_map<RequestId, RunningQuery> queries;
    /// Running queries, ordered by the time at which their timer is next due.
    std::set<std::pair<SteadyTime, RequestId>> timers;
    std::uint64_t nextRequest = 1;
    Counters counters;
    std::unique_ptr<Timer> timer;
    /// The time that `timer` is set to.
    std::optional<SteadyTime> armedFor;
    log4cplus::Logger log = Log::part("coordinator");

    State(const Clock &c, const Settings &s)
        : clock(&c)
        , settings(s)
        , chooser(s.chooser)
    { }

    RequestId newRequestId() { return requestPrefix + "-" + std::to_string(nextRequest++); }

    static void answerRefused(const RequestId &id, const Reason &reason, const AnswerHook &hook)
    {
        QueryAnswer answer;
        answer.requestId = id;
        answer.outcome = reason;
        hook(answer);
    }

    /// Returns why a new query is refused, or nothing if it is accepted.
    std::optional<Reason> refusal(const CallerRequest &request) const
    {
        if (view == nullptr) {
            return Reason {ResultCode::NotRunNoContact, {}};
        }
        if (auto refused = view->refusal(request.service, clock->now())) {
            return refused;
        }
        // Less urgent classes are refused earlier, so that the rest of the entry queue stays free
        // for more urgent ones.
        const double limit = view->settings->integer(operator_settings::entryQueueLimit)
            * entryQueueShare(request.requestClass);
        if (static_cast<double>(queries.size()) >= limit) {
            return Reason {ResultCode::NotRunOverloaded, {}};
        }
        return std::nullopt;
    }

    void updateView(std::shared_ptr<const ControlView> newView)
    {
        view = std::move(newView);
        for (const auto &[name, catalog] : view->services) {
            auto &service = services[name];
            if (service == nullptr) {
                service
                    = std::make_unique<CoordinatorService>(name, settings.service, *clock, chooser);
            }
        }
        const auto member = view->members.find(self);
        const FailureDomain localDomain
            = member == view->members.end() ? FailureDomain() : member->second.failureDomain;
        for (const auto &[name, service] : services) {
            service->updateView(view, localDomain);
        }
    }

    void query(const CallerRequest &request, const AnswerHook &answer)
    {
        const RequestId id = newRequestId();
        if (const auto refused = refusal(request)) {
            answerRefused(id, *refused, answer);
            return;
        }
        CoordinatorService &service = *services.at(request.service);
        Reason reason;
        auto plan = service.plan(id, request, reason);
        if (!plan) {
            answerRefused(id, reason, answer);
            return;
        }
        ++counters.queries;
        const auto [entry, inserted]
            = queries.try_emplace(id, request, service, std::move(*plan), answer);
        const auto actions = entry->second.gather.start(clock->now());
        apply(id, entry->second, actions);
        armTimer();
    }

    /// Carries out the actions of a query. May remove `query`.
    void apply(const RequestId &id, RunningQuery &query, const ScatterGather::Actions &actions)
    {
        OutgoingByOwner batches;
        std::map<MemberId, SubrequestCancel> cancels;
        const QueryAnswer *finished = nullptr;
        for (const ScatterGather::Action &action : actions) {
            if (const auto *send = std::get_if<ScatterGather::Send>(&action)) {
                countSend(send->purpose);
                Outgoing &outgoing = batches[ownerOf(send->item.backendServer)];
                outgoing.batch.items.push_back(send->item);
                outgoing.primaries += send->purpose == ReplicaChooser::Purpose::Primary ? 1 : 0;
            } else if (const auto *cancel = std::get_if<ScatterGather::Cancel>(&action)) {
                cancels[ownerOf(cancel->item.backendServer)].numbers.push_back(cancel->item.number);
            } else if (const auto *finish = std::get_if<ScatterGather::Finish>(&action)) {
                finished = &finish->answer;
            }
        }
        for (auto &[owner, cancel] : cancels) {
            cancel.requestId = id;
            cancel.coordinator = self;
            hooks.sendCancel(owner, cancel);
        }
        timers.erase({query.timerAt, id});
        if (finished != nullptr) {
            answer(id, query, *finished);
            return;
        }
        query.timerAt = query.gather.nextTimer();
        timers.insert({query.timerAt, id});
        sendBatches(id, query, batches);
    }

    void countSend(ReplicaChooser::Purpose purpose)
    {
        counters.hedges += purpose == ReplicaChooser::Purpose::Hedge ? 1 : 0;
        counters.retries += purpose == ReplicaChooser::Purpose::Retry ? 1 : 0;
    }

    void answer(const RequestId &id, RunningQuery &query, const QueryAnswer &finished)
    {
        counters.restarts += query.gather.restarts();
        counters.discardedReplies += query.gather.discardedReplies();
        const AnswerHook hook = std::move(query.answer);
        queries.erase(id);
        hook(finished);
    }

    void sendBatches(const RequestId &id, const RunningQuery &query, OutgoingByOwner &batches)
    {
        std::vector<Subreply> unsent;
        for (auto &[owner, outgoing] : batches) {
            SubrequestBatch &batch = outgoing.batch;
            fillBatch(id, query, batch);
            if (!hooks.sendBatch(owner, batch)) {
                addUnsentReplies(batch, unsent);
                continue;
            }
            query.service.onPrimariesSent(outgoing.primaries);
            for (const SubrequestItem &item : batch.items) {
                chooser.onSent(item.backendServer);
            }
        }
        // These replies are processed last, because each of them may remove `query`, which the loop
        // above uses.
        for (Subreply &reply : unsent) {
            onSubreply(std::move(reply));
        }
    }

    MemberId ownerOf(const BackendServerId &backendServer) const
    {
        const auto found = view->owners.find(backendServer);
        return found == view->owners.end() ? MemberId() : found->second;
    }

    void fillBatch(const RequestId &id, const RunningQuery &query, SubrequestBatch &batch) const
    {
        const QueryPlan &plan = query.gather.plan();
        batch.requestId = id;
        batch.coordinator = self;
        batch.service = plan.service;
        batch.version = plan.version;
        batch.requestClass = query.requestClass;
        // A reply that arrives after the answer has been sent is of no use.
        batch.timeLeft
            = std::chrono::ceil<std::chrono::milliseconds>(plan.answerBy() - clock->now());
        batch.body = query.body;
    }

    /// Adds a PeerUnreachable reply for each subrequest of a batch that could not be sent.
    static void addUnsentReplies(const SubrequestBatch &batch, std::vector<Subreply> &replies)
    {
        for (const SubrequestItem &item : batch.items) {
            replies.push_back(replyTo(batch, item, {ResultCode::PeerUnreachable, {}}));
        }
    }

    void onSubreply(Subreply reply)
    {
        const SteadyTime now = clock->now();
        chooser.onReport(reply.backendServer, reply.load, now);
        const auto found = queries.find(reply.requestId);
        if (found == queries.end()) {
            ++counters.lateReplies;
            return;
        }
        RunningQuery &query = found->second;
        const RequestId id = reply.requestId;
        query.service.onSubreply(reply);
        const auto actions = query.gather.onSubreply(std::move(reply), now);
        apply(id, query, actions);
    }

    void onTimer()
    {
        const SteadyTime now = clock->now();
        while (!timers.empty() && timers.begin()->first <= now) {
            const RequestId id = timers.begin()->second;
            RunningQuery &query = queries.at(id);
            const auto actions = query.gather.onTimer(now);
            apply(id, query, actions);
        }
    }

    /// Sets the timer of the event loop to the earliest time that any query needs.
    void armTimer()
    {
        if (timer == nullptr) {
            return;
        }
        if (timers.empty()) {
            armedFor.reset();
            timer->stop();
            return;
        }
        const SteadyTime due = timers.begin()->first;
        // A timer that fires too early costs one call that does nothing. Setting the timer again
        // for each change would cost more.
        if (armedFor && *armedFor <= due) {
            return;
        }
        armedFor = due;
        // Round up, so that the timer does not fire just before the query is due.
        timer->startOnce(std::chrono::ceil<std::chrono::microseconds>(due - clock->now()));
    }
};

Coordinator::Coordinator(event_base *loop, const Clock &clock, MemberId self,
                         std::string requestPrefix, Hooks hooks)
    : Coordinator(loop, clock, std::move(self), std::move(requestPrefix), std::move(hooks),
                  Settings())
{ }

Coordinator::Coordinator(event_base *loop, const Clock &clock, MemberId self,
                         std::string requestPrefix, Hooks hooks, const Settings &settings)
    : m_state(std::make_unique<State>(clock, settings))
{
    m_state->self = std::move(self);
    m_state->requestPrefix = std::move(requestPrefix);
    m_state->hooks = std::move(hooks);
    if (loop != nullptr) {
        m_state->timer = std::make_unique<Timer>(loop, [state = m_state.get()] {
            state->armedFor.reset();
            state->onTimer();
            state->armTimer();
        });
    }
}

Coordinator::~Coordinator() = default;

void Coordinator::updateView(std::shared_ptr<const ControlView> view)
{
    m_state->updateView(std::move(view));
}

void Coordinator::query(const CallerRequest &request, const AnswerHook &answer)
{
    m_state->query(request, answer);
}

void Coordinator::onSubreply(Subreply reply)
{
    m_state->onSubreply(std::move(reply));
    m_state->armTimer();
}

void Coordinator::onTimer()
{
    m_state->onTimer();
}

std::optional<SteadyTime> Coordinator::nextTimer() const
{
    const auto &timers = m_state->timers;
    return timers.empty() ? std::nullopt : std::optional(timers.begin()->first);
}

std::size_t Coordinator::running() const
{
    return m_state->queries.size();
}

nlohmann::json Coordinator::dump() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, query] : m_state->queries) {
        list.push_back({{"requestId", id},
                        {"service", query.gather.plan().service},
                        {"version", query.gather.plan().version},
                        {"class", requestClassName(query.requestClass)}});
    }
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[name, service] : m_state->services) {
        services[name] = service->dump();
    }
    const auto &counters = m_state->counters;
    return {{"running", std::move(list)},          {"services", std::move(services)},
            {"queries", counters.queries},         {"hedges", counters.hedges},
            {"retries", counters.retries},         {"restarts", counters.restarts},
            {"lateReplies", counters.lateReplies}, {"discardedReplies", counters.discardedReplies}};
}

} // namespace pimentoward
