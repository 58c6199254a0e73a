#include "Pimentoward/Request/OrderCoordinator.h"

#include "Pimentoward/Process/ClaimStore.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/RendezvousHash.h"
#include "Pimentoward/Process/Timer.h"
#include "Pimentoward/Version/SnapshotChooser.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>

namespace pimentoward {

namespace {

/// Period at which deadlines and settlements are checked.
constexpr std::chrono::milliseconds timerPeriod {5};
/// Period at which a settlement is sent again until it is committed.
constexpr std::chrono::seconds settlementRepeatPeriod {1};
/// Time for which an order waits for late replies after its deadline, and for which a settlement is
/// repeated.
constexpr std::chrono::minutes followUpTime {2};

} // namespace

struct OrderCoordinator::State
{
    /// One order, from its arrival until the follow-up time after its deadline has passed.
    struct RunningOrder
    {
        Order order;
        AnswerHook answer;
        SteadyTime deadline;
        bool isAnswered = false;
    };

    /// A settlement that is not committed yet.
    struct OpenSettlement
    {
        ClaimSettlement settlement;
        SteadyTime nextSendAt;
        /// Time from which the settlement is no longer repeated.
        SteadyTime givenUpAt;
    };

    const Clock *clock = nullptr;
    MemberId self;
    std::string requestPrefix;
    Hooks hooks;
    std::shared_ptr<const ControlView> view;
    std::unordered_map<RequestId, RunningOrder> orders;
    std::map<ClaimToken, OpenSettlement> settlements;
    std::uint64_t nextRequest = 1;
    /// Number of settlements that were given up without being committed.
    std::uint64_t lostSettlements = 0;
    std::unique_ptr<Timer> timer;

    /// The VM that owns the claim bucket of an idempotency key.
    MemberId bucketOwner(const ServiceName &service, const std::string &key) const
    {
        std::vector<RendezvousHash::Candidate> candidates;
        for (const auto &[id, member] : view->members) {
            candidates.push_back({id, member.failureDomain});
        }
        const std::string bucket = ClaimStore::bucketName(ClaimStore::bucketOf(service, key));
        return RendezvousHash::owner(candidates, bucket, {}).value_or(MemberId());
    }

    /// Returns why a new order is refused, or nothing if it is accepted.
    std::optional<Reason> refusal(const OrderRequest &request) const
    {
        return view == nullptr ? Reason {ResultCode::NotRunNoContact, {}}
                               : view->refusal(request.service, clock->now());
    }

    /// Makes the plan of an order. Returns nothing if no index version is released.
    std::optional<OrderPlan> plan(const OrderRequest &request) const
    {
        const ServiceCatalog &catalog = *view->services.at(request.service);
        const WallTime now = clock->wallNow();
        const auto serves = [&](const BackendServerId &id, IndexVersion) {
            const auto server = catalog.backendServers.find(id);
            return server != catalog.backendServers.end() && view->owners.count(id) > 0
                && !view->settings->isOutOfService(server->second.failureDomain)
                && catalog.canAcceptNewWork(server->second, now);
        };
        const SnapshotChooser::Query query {now, KeyRange::positionOf(request.key), {}};
        const IndexVersionEntry *version = SnapshotChooser::choose(catalog, query, serves);
        if (version == nullptr) {
            return std::nullopt;
        }
        OrderPlan plan;
        plan.coordinator = self;
        plan.request = request;
        plan.shard = version->shards->shardAt(KeyRange::positionOf(request.key));
        // Replicas that may accept new work come first, because the others would refuse the order.
        std::stable_partition(
            plan.shard.replicas.begin(), plan.shard.replicas.end(),
            [&](const BackendServerId &id) { return serves(id, version->version); });
        plan.version = version->version;
        plan.deadline = clock->now()
            + request.deadline.value_or(
                view->settings->milliseconds(operator_settings::queryDeadline, request.service));
        return plan;
    }

    void apply(const RequestId &id, const Order::Actions &actions)
    {
        for (const Order::Action &action : actions) {
            if (const auto *claim = std::get_if<Order::SendClaim>(&action)) {
                sendClaim(claim->request);
            } else if (const auto *send = std::get_if<Order::Send>(&action)) {
                this->send(id, send->item);
            } else if (const auto *settle = std::get_if<Order::Settle>(&action)) {
                const SteadyTime now = clock->now();
                settlements[settle->settlement.token]
                    = {settle->settlement, now, now + followUpTime};
                sendSettlements();
            } else if (const auto *finish = std::get_if<Order::Finish>(&action)) {
                RunningOrder &running = orders.at(id);
                running.isAnswered = true;
                running.answer(finish->answer);
                running.answer = nullptr;
            }
        }
    }

    void sendClaim(const ClaimRequest &request)
    {
        if (hooks.sendClaimMessage(bucketOwner(request.service, request.key), request)) {
            return;
        }
        // The bucket's owner cannot be reached. The default verdict of the reply is
        // StoreUnavailable.
        ClaimReply reply;
        reply.token = request.token;
        onClaimReply(reply);
    }

    void send(const RequestId &id, const SubrequestItem &item)
    {
        const OrderPlan &plan = orders.at(id).order.plan();
        SubrequestBatch batch;
        batch.requestId = id;
        batch.coordinator = self;
        batch.service = plan.request.service;
        batch.version = plan.version;
        batch.requestClass = plan.request.requestClass;
        batch.timeLeft
            = std::chrono::duration_cast<std::chrono::milliseconds>(plan.deadline - clock->now());
        batch.atMostOnce = true;
        batch.body = plan.request.backendBody();
        batch.items = {item};
        const auto owner = view->owners.find(item.backendServer);
        if (owner != view->owners.end() && hooks.sendBatch(owner->second, batch)) {
            return;
        }
        onSubreply(replyTo(batch, item, {ResultCode::PeerUnreachable, {}}));
    }

    void sendSettlements()
    {
        const SteadyTime now = clock->now();
        for (auto entry = settlements.begin(); entry != settlements.end();) {
            OpenSettlement &open = entry->second;
            if (now >= open.givenUpAt) {
                ++lostSettlements;
                entry = settlements.erase(entry);
                continue;
            }
            if (now >= open.nextSendAt) {
                open.nextSendAt = now + settlementRepeatPeriod;
                const ClaimSettlement &settlement = open.settlement;
                hooks.sendClaimMessage(bucketOwner(settlement.service, settlement.key), settlement);
            }
            ++entry;
        }
    }

    void onClaimReply(const ClaimReply &reply)
    {
        const auto found = orders.find(reply.token);
        if (found != orders.end()) {
            apply(reply.token, found->second.order.onClaimReply(reply, clock->now()));
        }
    }

    bool onSubreply(const Subreply &reply)
    {
        const auto found = orders.find(reply.requestId);
        if (found == orders.end()) {
            return false;
        }
        apply(reply.requestId, found->second.order.onSubreply(reply, clock->now()));
        return true;
    }

    /// Starts the timer if there is an order or an open settlement.
    void armTimer()
    {
        if (!orders.empty() || !settlements.empty()) {
            timer->startOnce(timerPeriod);
        }
    }

    void onTimer()
    {
        const SteadyTime now = clock->now();
        std::vector<RequestId> due;
        for (auto entry = orders.begin(); entry != orders.end();) {
            const RunningOrder &running = entry->second;
            if (running.isAnswered && now >= running.deadline + followUpTime) {
                entry = orders.erase(entry);
                continue;
            }
            if (!running.isAnswered && now >= running.deadline) {
                due.push_back(entry->first);
            }
            ++entry;
        }
        for (const RequestId &id : due) {
            apply(id, orders.at(id).order.onTimer(now));
        }
        sendSettlements();
        armTimer();
    }
};

OrderCoordinator::OrderCoordinator(event_base *loop, const Clock &clock, MemberId self,
                                   std::string requestPrefix, Hooks hooks)
    : m_state(std::make_unique<State>())
{
    m_state->clock = &clock;
    m_state->self = std::move(self);
    m_state->requestPrefix = std::move(requestPrefix) + "-order";
    m_state->hooks = std::move(hooks);
    m_state->timer = std::make_unique<Timer>(loop, [state = m_state.get()] { state->onTimer(); });
}

OrderCoordinator::~OrderCoordinator() = default;

void OrderCoordinator::updateView(std::shared_ptr<const ControlView> view)
{
    m_state->view = std::move(view);
}

void OrderCoordinator::order(const OrderRequest &request, AnswerHook answer)
{
    const RequestId id = m_state->requestPrefix + "-" + std::to_string(m_state->nextRequest++);
    if (const auto refused = m_state->refusal(request)) {
        answer({id, *refused, {}});
        return;
    }
    auto plan = m_state->plan(request);
    if (!plan) {
        answer({id, {ResultCode::NotRunRefusedByBackend, "no index version is released"}, {}});
        return;
    }
    plan->requestId = id;
    const SteadyTime deadline = plan->deadline;
    const auto [entry, inserted] = m_state->orders.emplace(
        id, State::RunningOrder {Order(std::move(*plan), {}), std::move(answer), deadline});
    m_state->armTimer();
    m_state->apply(id, entry->second.order.start(m_state->clock->now()));
}

void OrderCoordinator::onClaimReply(const ClaimReply &reply)
{
    m_state->onClaimReply(reply);
}

void OrderCoordinator::onSettled(const ClaimSettled &settled)
{
    m_state->settlements.erase(settled.token);
}

bool OrderCoordinator::onSubreply(const Subreply &reply)
{
    return m_state->onSubreply(reply);
}

std::size_t OrderCoordinator::running() const
{
    std::size_t unanswered = 0;
    for (const auto &[id, order] : m_state->orders) {
        unanswered += order.isAnswered ? 0 : 1;
    }
    return unanswered + m_state->settlements.size();
}

nlohmann::json OrderCoordinator::dump() const
{
    return {{"running", running()},
            {"followedUp", m_state->orders.size()},
            {"openSettlements", m_state->settlements.size()},
            {"lostSettlements", m_state->lostSettlements}};
}

} // namespace pimentoward
