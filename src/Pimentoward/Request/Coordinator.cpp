#include "Pimentoward/Request/Coordinator.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/Timer.h"
#include "Pimentoward/Request/ScatterGather.h"
#include "Pimentoward/Version/SnapshotChooser.h"

#include <nlohmann/json.hpp>

#include <map>
#include <unordered_map>

namespace pimentoward {

namespace {

constexpr std::chrono::milliseconds timerPeriod {2};
constexpr double percent = 100;

} // namespace

struct Coordinator::State
{
    /// One query from its arrival to its answer.
    struct RunningQuery
    {
        CallerRequest request;
        ScatterGather gather;
        AnswerHook answer;
        IndexVersion version = 0;
        SteadyTime deadline;
    };

    const Clock *clock = nullptr;
    MemberId self;
    std::string requestPrefix;
    Hooks hooks;
    std::shared_ptr<const ControlView> view;
    std::unordered_map<RequestId, RunningQuery> queries;
    std::uint64_t nextRequest = 1;
    std::uint64_t lateReplies = 0;
    std::unique_ptr<Timer> timer;
    log4cplus::Logger log = Log::part("coordinator");

    RequestId newRequestId() { return requestPrefix + "-" + std::to_string(nextRequest++); }

    static void refuse(const RequestId &id, const Reason &reason, const AnswerHook &hook)
    {
        QueryAnswer answer;
        answer.requestId = id;
        answer.outcome = reason;
        hook(answer);
    }

    std::optional<Reason> refusal(const CallerRequest &request) const
    {
        if (view == nullptr || !view->hasContact(clock->now())) {
            return Reason {ResultCode::NotRunNoContact, {}};
        }
        if (view->leaving) {
            return Reason {ResultCode::NotRunLeaving, {}};
        }
        if (view->services.count(request.service) == 0) {
            return Reason {ResultCode::UnknownService,
                           "there is no service '" + request.service + "'"};
        }
        const int limit = view->settings->integer(operator_settings::entryQueueLimit);
        if (queries.size() >= static_cast<std::size_t>(limit)) {
            return Reason {ResultCode::NotRunOverloaded, {}};
        }
        return std::nullopt;
    }

    QueryPlan plan(const RequestId &id, const CallerRequest &request,
                   const IndexVersionEntry &version) const
    {
        const SettingsDocument &settings = *view->settings;
        QueryPlan plan;
        plan.requestId = id;
        plan.service = request.service;
        plan.version = version.version;
        plan.deadline = clock->now()
            + request.deadline.value_or(
                settings.milliseconds(operator_settings::queryDeadline, request.service));
        plan.coverageFirst = settings.value(operator_settings::partialAnswer, request.service)
            == operator_settings::answerWhole;
        plan.coverageTarget
            = settings.real(operator_settings::coverageTarget, request.service) / percent;
        if (request.isLookup()) {
            plan.shards = {version.shards->shardAt(KeyRange::positionOf(request.key))};
        } else {
            plan.shards = version.shards->shards();
        }
        return plan;
    }

    void apply(const RequestId &id, RunningQuery &query, const ScatterGather::Actions &actions)
    {
        std::map<MemberId, SubrequestBatch> batches;
        std::map<MemberId, SubrequestCancel> cancels;
        const QueryAnswer *finished = nullptr;
        for (const ScatterGather::Action &action : actions) {
            if (const auto *send = std::get_if<ScatterGather::Send>(&action)) {
                batches[ownerOf(send->item.backendServer)].items.push_back(send->item);
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
        if (finished != nullptr) {
            const AnswerHook answer = std::move(query.answer);
            queries.erase(id);
            answer(*finished);
            return;
        }
        std::vector<Subreply> unsent;
        for (auto &[owner, batch] : batches) {
            fillBatch(id, query, batch);
            if (!hooks.sendBatch(owner, batch)) {
                addUnsent(batch, unsent);
            }
        }
        // Only now: such a reply may end the query that is being worked on.
        for (const Subreply &reply : unsent) {
            onSubreply(reply);
        }
    }

    MemberId ownerOf(const BackendServerId &backendServer) const
    {
        const auto found = view->owners.find(backendServer);
        return found == view->owners.end() ? MemberId() : found->second;
    }

    void fillBatch(const RequestId &id, const RunningQuery &query, SubrequestBatch &batch) const
    {
        batch.requestId = id;
        batch.coordinator = self;
        batch.service = query.request.service;
        batch.version = query.version;
        batch.requestClass = query.request.requestClass;
        batch.timeLeft
            = std::chrono::duration_cast<std::chrono::milliseconds>(query.deadline - clock->now());
        batch.body = query.request.backendBody();
    }

    /// Replies for a batch that could not leave this VM.
    static void addUnsent(const SubrequestBatch &batch, std::vector<Subreply> &replies)
    {
        for (const SubrequestItem &item : batch.items) {
            Subreply reply;
            reply.requestId = batch.requestId;
            reply.number = item.number;
            reply.shard = item.shard;
            reply.backendServer = item.backendServer;
            reply.version = batch.version;
            reply.code = ResultCode::PeerUnreachable;
            replies.push_back(std::move(reply));
        }
    }

    void onSubreply(const Subreply &reply)
    {
        const auto found = queries.find(reply.requestId);
        if (found == queries.end()) {
            ++lateReplies;
            return;
        }
        RunningQuery &query = found->second;
        const RequestId id = reply.requestId;
        apply(id, query, query.gather.onSubreply(reply, clock->now()));
    }

    void onTimer()
    {
        const SteadyTime now = clock->now();
        std::vector<RequestId> due;
        for (const auto &[id, query] : queries) {
            if (query.gather.nextTimer() <= now) {
                due.push_back(id);
            }
        }
        for (const RequestId &id : due) {
            if (const auto found = queries.find(id); found != queries.end()) {
                apply(id, found->second, found->second.gather.onTimer(now));
            }
        }
    }
};

Coordinator::Coordinator(event_base *loop, const Clock &clock, MemberId self,
                         std::string requestPrefix, Hooks hooks)
    : m_state(std::make_unique<State>())
{
    m_state->clock = &clock;
    m_state->self = std::move(self);
    m_state->requestPrefix = std::move(requestPrefix);
    m_state->hooks = std::move(hooks);
    m_state->timer = std::make_unique<Timer>(loop, [state = m_state.get()] { state->onTimer(); });
    m_state->timer->startRepeating(timerPeriod);
}

Coordinator::~Coordinator() = default;

void Coordinator::updateView(std::shared_ptr<const ControlView> view)
{
    m_state->view = std::move(view);
}

void Coordinator::query(const CallerRequest &request, AnswerHook answer)
{
    const RequestId id = m_state->newRequestId();
    if (const auto refused = m_state->refusal(request)) {
        State::refuse(id, *refused, answer);
        return;
    }
    const ServiceCatalog &catalog = *m_state->view->services.at(request.service);
    const IndexVersionEntry *version = SnapshotChooser::choose(catalog, m_state->clock->wallNow());
    if (version == nullptr) {
        State::refuse(id, {ResultCode::VersionGone, "no index version is released"}, answer);
        return;
    }
    const QueryPlan plan = m_state->plan(id, request, *version);
    const auto [entry, inserted] = m_state->queries.emplace(
        id,
        State::RunningQuery {request, ScatterGather(plan), std::move(answer), version->version,
                             plan.deadline});
    State::RunningQuery &query = entry->second;
    m_state->apply(id, query, query.gather.start(m_state->clock->now()));
}

void Coordinator::onSubreply(const Subreply &reply)
{
    m_state->onSubreply(reply);
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
                        {"service", query.request.service},
                        {"version", query.version},
                        {"class", requestClassName(query.request.requestClass)}});
    }
    return {{"running", std::move(list)}, {"lateReplies", m_state->lateReplies}};
}

} // namespace pimentoward
