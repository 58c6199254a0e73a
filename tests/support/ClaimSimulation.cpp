#include "tests/support/ClaimSimulation.h"

namespace pimentoward::tests {

namespace {

using std::chrono::milliseconds;

constexpr const char *bucketKey = "claims/0";
constexpr unsigned distinctKeys = 12;
constexpr milliseconds orderDeadline {800};

} // namespace

ClaimSimulation::ClaimSimulation(const Settings &settings, unsigned seed)
    : m_settings(settings)
    , m_random(seed)
    , m_vms(2)
{
    for (Vm &vm : m_vms) {
        vm.bucket = std::make_unique<ClaimBucket>(settings.bucket);
    }
}

bool ClaimSimulation::chance(double share)
{
    constexpr double range = 4294967296.0;
    return static_cast<double>(m_random()) / range < share;
}

Duration ClaimSimulation::randomDelay()
{
    return std::chrono::microseconds(200 + m_random() % 20'000);
}

void ClaimSimulation::run(unsigned orders)
{
    constexpr milliseconds span {6000};
    for (unsigned number = 0; number < orders; ++number) {
        m_events.after(milliseconds(m_random() % span.count()),
                       [this, number] { startOrder(number); });
    }
    const milliseconds outageStart {1000 + m_random() % 3000};
    m_events.after(outageStart, [this] { m_storeDown = true; });
    m_events.after(outageStart + milliseconds(500 + m_random() % 1500),
                   [this] { m_storeDown = false; });
    m_events.runUntil(m_events.now() + span + std::chrono::seconds(10));
}

void ClaimSimulation::startOrder(unsigned number)
{
    OrderPlan plan;
    plan.requestId = "order-" + std::to_string(number);
    plan.coordinator = plan.requestId;
    plan.request.service = "pressing";
    plan.request.idempotencyKey = "key-" + std::to_string(m_random() % distinctKeys);
    plan.request.content = "{}";
    plan.request.expiry = m_events.clock().wallNow() + std::chrono::hours(1);
    plan.shard = {"s0", {0, KeyRange::keySpaceSize}, {"s0-0", "s0-1"}};
    plan.deadline = m_events.now() + orderDeadline;
    const std::string id = plan.requestId;
    OrderState &state = m_orders[id];
    state.order = std::make_unique<Order>(std::move(plan), m_settings.order);
    ++m_started;
    deliver(id, [this](Order &order) { return order.start(m_events.now()); });
    m_events.after(orderDeadline, [this, id] {
        deliver(id, [this](Order &order) { return order.onTimer(m_events.now()); });
    });
}

void ClaimSimulation::deliver(const std::string &id,
                              const std::function<Order::Actions(Order &)> &work)
{
    OrderState &state = m_orders.at(id);
    if (!state.isCrashed && chance(m_settings.coordinatorCrashes / 3)) {
        state.isCrashed = true;
        ++m_crashed;
    }
    if (state.isCrashed) {
        return;
    }
    if (chance(m_settings.freezes)) {
        state.frozenUntil = m_events.now() + milliseconds(m_random() % 1000);
    }
    if (state.frozenUntil > m_events.now()) {
        m_events.after(state.frozenUntil - m_events.now(),
                       [this, id, work] { apply(id, work(*m_orders.at(id).order)); });
        return;
    }
    apply(id, work(*state.order));
}

void ClaimSimulation::apply(const std::string &id, const Order::Actions &actions)
{
    for (const Order::Action &action : actions) {
        if (const auto *claim = std::get_if<Order::SendClaim>(&action)) {
            m_events.after(randomDelay(), [this, request = claim->request, vm = m_random() % 2] {
                m_vms[vm].bucket->claim(request, m_events.now());
                stepBucket(vm);
            });
        } else if (const auto *send = std::get_if<Order::Send>(&action)) {
            dispatch(id, send->item);
        } else if (const auto *settle = std::get_if<Order::Settle>(&action)) {
            m_events.after(randomDelay(),
                           [this, settlement = settle->settlement, vm = m_random() % 2] {
                               m_vms[vm].bucket->settle(settlement);
                               stepBucket(vm);
                           });
        } else if (const auto *finish = std::get_if<Order::Finish>(&action)) {
            m_callerAnswers.push_back(
                {m_orders.at(id).order->plan().request.idempotencyKey, id, finish->answer.outcome});
        }
    }
}

void ClaimSimulation::dispatch(const std::string &id, const SubrequestItem &item)
{
    Subreply reply;
    reply.requestId = id;
    reply.number = item.number;
    reply.shard = item.shard;
    reply.backendServer = item.backendServer;
    const unsigned replyKind = m_random() % 4;
    if (replyKind == 0) {
        reply.code = ResultCode::NotRunRefusedByBackend;
    } else {
        const std::string key = m_orders.at(id).order->plan().request.idempotencyKey;
        m_events.after(randomDelay(), [this, key, id] {
            ++m_runsByKey[key];
            ++m_runsByRequest[id];
        });
        reply.code = replyKind == 1 ? ResultCode::BackendFailed : ResultCode::Ok;
        reply.body = "[]";
    }
    if (!chance(m_settings.lostReplies)) {
        m_events.after(milliseconds(25) + randomDelay() * (1 + static_cast<int>(m_random() % 40)),
                       [this, id, reply] {
                           deliver(id, [this, reply](Order &order) {
                               return order.onSubreply(reply, m_events.now());
                           });
                       });
    }
}

void ClaimSimulation::apply(std::size_t vm, const ClaimBucket::Actions &actions)
{
    for (const ClaimBucket::Action &action : actions) {
        if (std::holds_alternative<ClaimBucket::Read>(action)) {
            read(vm);
        } else if (const auto *write = std::get_if<ClaimBucket::Write>(&action)) {
            this->write(vm, *write);
        } else if (const auto *reply = std::get_if<ClaimBucket::Reply>(&action)) {
            m_events.after(randomDelay(), [this, reply = reply->reply] {
                deliver(reply.token, [this, reply](Order &order) {
                    return order.onClaimReply(reply, m_events.now());
                });
            });
        }
    }
    if (const auto timer = m_vms[vm].bucket->nextTimer();
        timer && *timer > m_events.now() && *timer != SteadyTime::max()) {
        m_events.after(*timer - m_events.now(), [this, vm] { stepBucket(vm); });
    }
}

void ClaimSimulation::stepBucket(std::size_t vm)
{
    const VirtualClock &clock = m_events.clock();
    apply(vm, m_vms[vm].bucket->step(clock.now(), clock.wallNow()));
}

void ClaimSimulation::read(std::size_t vm)
{
    const bool isLost = m_storeDown || chance(m_settings.lostAnswers);
    m_events.after(randomDelay(), [this, vm, isLost] {
        const VirtualClock &clock = m_events.clock();
        const auto value = isLost ? std::nullopt : std::optional(m_store.read(bucketKey));
        apply(vm, m_vms[vm].bucket->onRead(value, clock.now(), clock.wallNow()));
    });
}

void ClaimSimulation::write(std::size_t vm, const ClaimBucket::Write &write)
{
    ++m_storeWrites;
    const bool isLost = chance(m_settings.lostAnswers);
    const bool takesEffect = !m_storeDown && (!isLost || m_random() % 2 == 0);
    const Duration travelTime = randomDelay();
    // A write whose answer is lost can still be applied long after its writer has timed out.
    const int delayFactor = isLost ? 1 + static_cast<int>(m_random() % 20) : 1;
    const Duration effectDelay = travelTime * delayFactor;
    const auto outcome = std::make_shared<WriteOutcome>();
    outcome->status = m_storeDown ? WriteStatus::Refused : WriteStatus::Unsure;
    if (takesEffect) {
        m_events.after(effectDelay, [this, write, isLost, outcome] {
            const WriteOutcome actualOutcome
                = m_store.compareAndSwap(bucketKey, write.expected, write.value);
            if (!isLost) {
                *outcome = actualOutcome;
            }
        });
    }
    m_events.after(travelTime + milliseconds(isLost ? 50 : 1), [this, vm, outcome] {
        const VirtualClock &clock = m_events.clock();
        apply(vm, m_vms[vm].bucket->onWrite(*outcome, clock.now(), clock.wallNow()));
    });
}

} // namespace pimentoward::tests
