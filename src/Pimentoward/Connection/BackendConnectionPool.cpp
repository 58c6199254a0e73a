#include "Pimentoward/Connection/BackendConnectionPool.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Maximum number of waiting cancels. If a cancel is dropped, the slot is freed once the deadline
/// and the grace period have passed.
constexpr std::size_t maxWaitingCancels = 64;
/// A connection that the other side closes within this time after its last call counts as reset,
/// not as closed for being idle.
constexpr std::chrono::seconds resetWindow {1};

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
    , m_timer(loop, [this] { sendWaiting(); })
{ }

void BackendConnectionPool::send(CallFactory makeCall, SteadyTime expiresAt,
                                 HttpConnection::DoneHook done)
{
    m_calls.push_back({std::move(makeCall), std::move(done), expiresAt});
    m_timer.startOnce(Duration::zero());
}

void BackendConnectionPool::sendCancel(const HttpCall &call, HttpConnection::DoneHook done)
{
    if (m_cancels.size() < maxWaitingCancels) {
        m_cancels.push_back(
            {[call](Reason &) { return call; }, std::move(done), m_clock.now() + call.timeout});
        m_timer.startOnce(Duration::zero());
    }
}

void BackendConnectionPool::closeIdle()
{
    m_isCloseIdleRequested = true;
    m_timer.startOnce(Duration::zero());
}

void BackendConnectionPool::sendWaiting()
{
    const SteadyTime now = m_clock.now();
    removeConnections(m_isCloseIdleRequested);
    m_isCloseIdleRequested = false;
    failExpired(m_cancels, now);
    failExpired(m_calls, now);
    while (!m_cancels.empty() || !m_calls.empty()) {
        // If more than one connection is allowed, the last one is reserved for cancels.
        const int maxBusyForCalls = std::max(1, m_budget.allowance(now) - 1);
        const bool isCancel = !m_cancels.empty();
        if (!isCancel && busyConnections() >= maxBusyForCalls) {
            break;
        }
        Entry *entry = availableConnection(now);
        if (entry == nullptr) {
            break;
        }
        std::deque<WaitingCall> &queue = isCancel ? m_cancels : m_calls;
        WaitingCall next = std::move(queue.front());
        queue.pop_front();
        sendOn(*entry, std::move(next));
    }
    scheduleTimer(now);
}

void BackendConnectionPool::failExpired(std::deque<WaitingCall> &queue, SteadyTime now)
{
    // Each call has its own expiry, so the whole queue is searched. The queue is short: at most one
    // call per slot, or `maxWaitingCancels` cancels.
    for (auto waiting = queue.begin(); waiting != queue.end();) {
        if (waiting->expiresAt > now) {
            ++waiting;
            continue;
        }
        const HttpConnection::DoneHook done = std::move(waiting->done);
        waiting = queue.erase(waiting);
        done(std::nullopt,
             {ResultCode::NotRunOverloaded,
              "no connection to the backend server became available in time"});
        // The hook may have added to the queue, which invalidates the iterator.
        waiting = queue.begin();
    }
}

BackendConnectionPool::Entry *BackendConnectionPool::availableConnection(SteadyTime now)
{
    Entry *mostRecent = nullptr;
    for (const auto &entry : m_entries) {
        const bool isAvailable = !entry->connection->isBusy() && entry->connection->isConnected();
        if (isAvailable && (mostRecent == nullptr || entry->lastUsed > mostRecent->lastUsed)) {
            mostRecent = entry.get();
        }
    }
    if (mostRecent != nullptr || !m_budget.mayOpen(now)) {
        return mostRecent;
    }
    m_budget.onOpened(now);
    auto entry = std::make_unique<Entry>();
    entry->connection = std::make_unique<HttpConnection>(m_loop, m_address);
    entry->connection->setIdleClosedHook([this, raw = entry.get()] { onIdleClosed(*raw); });
    m_entries.push_back(std::move(entry));
    return m_entries.back().get();
}

int BackendConnectionPool::busyConnections() const
{
    return static_cast<int>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &entry) { return entry->connection->isBusy(); }));
}

void BackendConnectionPool::sendOn(Entry &entry, WaitingCall waiting)
{
    Reason reason;
    const std::optional<HttpCall> call = waiting.makeCall(reason);
    if (!call) {
        waiting.done(std::nullopt, reason);
        return;
    }
    entry.connection->send(*call,
                           [this, &entry, done = std::move(waiting.done)](
                               const std::optional<HttpAnswer> &answer, const Reason &failure) {
                               entry.lastUsed = m_clock.now();
                               // The connection is now idle or closed; either way a waiting call
                               // may be sent.
                               m_timer.startOnce(Duration::zero());
                               done(answer, failure);
                           });
}

void BackendConnectionPool::removeConnections(bool allIdle)
{
    const auto isKept = [allIdle](const auto &entry) {
        return entry->connection->isBusy() || (!allIdle && entry->connection->isConnected());
    };
    const auto firstRemoved = std::stable_partition(m_entries.begin(), m_entries.end(), isKept);
    std::for_each(firstRemoved, m_entries.end(), [this](const auto &) { m_budget.onClosed(); });
    m_entries.erase(firstRemoved, m_entries.end());
}

void BackendConnectionPool::onIdleClosed(const Entry &entry)
{
    m_timer.startOnce(Duration::zero());
    if (m_clock.now() < entry.lastUsed + resetWindow) {
        m_onReset();
    }
}

void BackendConnectionPool::scheduleTimer(SteadyTime now)
{
    if (m_cancels.empty() && m_calls.empty()) {
        return;
    }
    SteadyTime next = m_budget.nextOpening(now);
    for (const auto *queue : {&m_cancels, &m_calls}) {
        for (const WaitingCall &waiting : *queue) {
            next = next <= now ? waiting.expiresAt : std::min(next, waiting.expiresAt);
        }
    }
    m_timer.startOnce(std::max(next - now, Duration::zero()));
}

} // namespace pimentoward
