#include "Pimentoward/Connection/BackendConnectionPool.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Cancels that may wait; past it the slot is freed by its deadline and grace.
constexpr std::size_t mostWaitingCancels = 64;
/// A connection that the other side closes so soon after its last call was reset, not idle.
constexpr std::chrono::seconds recentUse {1};

} // namespace

BackendConnectionPool::BackendConnectionPool(event_base *loop, const Clock &clock,
                                             const Address &address,
                                             const ConnectionBudget::Settings &budget,
                                             ResetHook onReset)
    : m_loop(loop)
    , m_clock(clock)
    , m_address(address)
    , m_budget(budget, clock.now())
    , m_onReset(std::move(onReset))
    , m_timer(loop, [this] { pump(); })
{ }

void BackendConnectionPool::send(CallSource source, SteadyTime giveUp,
                                 HttpConnection::DoneHook done)
{
    m_calls.push_back({std::move(source), std::move(done), giveUp});
    m_timer.startOnce(Duration::zero());
}

void BackendConnectionPool::sendCancel(const HttpCall &call, HttpConnection::DoneHook done)
{
    if (m_cancels.size() < mostWaitingCancels) {
        m_cancels.push_back(
            {[call](Reason &) { return call; }, std::move(done), m_clock.now() + call.timeout});
        m_timer.startOnce(Duration::zero());
    }
}

void BackendConnectionPool::closeIdle()
{
    m_closesIdle = true;
    m_timer.startOnce(Duration::zero());
}

void BackendConnectionPool::pump()
{
    const SteadyTime now = m_clock.now();
    drop(m_closesIdle);
    m_closesIdle = false;
    giveUpLate(m_cancels, now);
    giveUpLate(m_calls, now);
    while (!m_cancels.empty() || !m_calls.empty()) {
        // Calls leave the last connection to cancels, where there is more than one.
        const int forCalls = std::max(1, m_budget.allowance(now) - 1);
        const bool isCancel = !m_cancels.empty();
        if (!isCancel && busy() >= forCalls) {
            break;
        }
        Entry *entry = freeConnection(now);
        if (entry == nullptr) {
            break;
        }
        std::deque<Waiting> &queue = isCancel ? m_cancels : m_calls;
        Waiting next = std::move(queue.front());
        queue.pop_front();
        sendOn(*entry, std::move(next));
    }
    schedule(now);
}

void BackendConnectionPool::giveUpLate(std::deque<Waiting> &queue, SteadyTime now)
{
    // Deadlines differ between calls; the queue is as short as the slots.
    for (auto waiting = queue.begin(); waiting != queue.end();) {
        if (waiting->giveUp > now) {
            ++waiting;
            continue;
        }
        const HttpConnection::DoneHook done = std::move(waiting->done);
        waiting = queue.erase(waiting);
        done(std::nullopt,
             {ResultCode::NotRunOverloaded, "no connection to the backend server was free"});
        // The hook may have added to the queue.
        waiting = queue.begin();
    }
}

BackendConnectionPool::Entry *BackendConnectionPool::freeConnection(SteadyTime now)
{
    Entry *warmest = nullptr;
    for (const auto &entry : m_entries) {
        const bool isFree = !entry->connection->isBusy() && entry->connection->isConnected();
        if (isFree && (warmest == nullptr || entry->lastUsed > warmest->lastUsed)) {
            warmest = entry.get();
        }
    }
    if (warmest != nullptr || !m_budget.mayOpen(now)) {
        return warmest;
    }
    m_budget.onOpened(now);
    auto entry = std::make_unique<Entry>();
    entry->connection = std::make_unique<HttpConnection>(m_loop, m_address);
    entry->connection->setIdleClosedHook([this, raw = entry.get()] { onIdleClosed(*raw); });
    m_entries.push_back(std::move(entry));
    return m_entries.back().get();
}

int BackendConnectionPool::busy() const
{
    return static_cast<int>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &entry) { return entry->connection->isBusy(); }));
}

void BackendConnectionPool::sendOn(Entry &entry, Waiting waiting)
{
    Reason reason;
    const std::optional<HttpCall> call = waiting.source(reason);
    if (!call) {
        waiting.done(std::nullopt, reason);
        return;
    }
    entry.connection->send(*call,
                           [this, &entry, done = std::move(waiting.done)](
                               const std::optional<HttpAnswer> &answer, const Reason &failure) {
                               entry.lastUsed = m_clock.now();
                               // Closed or free, it lets the next call go.
                               m_timer.startOnce(Duration::zero());
                               done(answer, failure);
                           });
}

void BackendConnectionPool::drop(bool allIdle)
{
    const auto stays = [allIdle](const auto &entry) {
        return entry->connection->isBusy() || (!allIdle && entry->connection->isConnected());
    };
    const auto firstDropped = std::stable_partition(m_entries.begin(), m_entries.end(), stays);
    std::for_each(firstDropped, m_entries.end(), [this](const auto &) { m_budget.onClosed(); });
    m_entries.erase(firstDropped, m_entries.end());
}

void BackendConnectionPool::onIdleClosed(const Entry &entry)
{
    m_timer.startOnce(Duration::zero());
    if (m_clock.now() < entry.lastUsed + recentUse) {
        m_onReset();
    }
}

void BackendConnectionPool::schedule(SteadyTime now)
{
    if (m_cancels.empty() && m_calls.empty()) {
        return;
    }
    SteadyTime next = m_budget.nextOpening(now);
    for (const auto *queue : {&m_cancels, &m_calls}) {
        for (const Waiting &waiting : *queue) {
            next = next <= now ? waiting.giveUp : std::min(next, waiting.giveUp);
        }
    }
    m_timer.startOnce(std::max(next - now, Duration::zero()));
}

} // namespace pimentoward
