#pragma once

#include "Pimentoward/Connection/ConnectionBudget.h"
#include "Pimentoward/Connection/HttpConnection.h"
#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/Timer.h"

#include <deque>
#include <memory>
#include <vector>

struct event_base;

namespace pimentoward {

/// The connections of one owner to one backend server, limited by a ConnectionBudget. The most
/// recently used connection is reused first. Calls wait for a connection in order of arrival.
/// Cancels are sent before calls. If more than one connection is allowed, the last one is reserved
/// for cancels.
class BackendConnectionPool
{
public:
    /// Called when the other side closes a connection that was in use shortly before.
    using ResetHook = std::function<void()>;

    BackendConnectionPool(event_base *loop, const Clock &clock, const Address &address,
                          const ConnectionBudget::Settings &budget, ResetHook onReset);
    BackendConnectionPool(const BackendConnectionPool &) = delete;
    BackendConnectionPool &operator=(const BackendConnectionPool &) = delete;

    /// Builds a call immediately before it is sent, or returns nothing and the reason why it must
    /// not be sent.
    using CallFactory = std::function<std::optional<HttpCall>(Reason &)>;

    /// Sends one call as soon as a connection is available. The hook is called from the event loop,
    /// never inside this function. If no connection is available by `expiresAt`, the hook gets
    /// NotRunOverloaded; if `makeCall` returns nothing, it gets the reason given. In both cases no
    /// byte has been sent.
    void send(CallFactory makeCall, SteadyTime expiresAt, HttpConnection::DoneHook done);
    /// Sends a cancel. If too many cancels are waiting, this one is dropped and its hook is not
    /// called.
    void sendCancel(const HttpCall &call, HttpConnection::DoneHook done);
    /// To be called when this VM has become the owner again.
    void onOwnershipRegained() { m_budget.onOwnershipRegained(m_clock.now()); }
    /// Closes all connections that carry no call, for example after ownership is lost. They are
    /// closed from the event loop, not inside this function.
    void closeIdle();
    /// Returns the number of open connections.
    int connections() const { return m_budget.openConnections(); }
    /// Returns the number of waiting calls and cancels.
    std::size_t waiting() const { return m_calls.size() + m_cancels.size(); }

private:
    struct WaitingCall
    {
        CallFactory makeCall;
        HttpConnection::DoneHook done;
        SteadyTime expiresAt;
    };
    struct Entry
    {
        std::unique_ptr<HttpConnection> connection;
        SteadyTime lastUsed;
    };

    /// Assigns connections to waiting cancels and calls. Called from the event loop, never inside
    /// send().
    void sendWaiting();
    void failExpired(std::deque<WaitingCall> &queue, SteadyTime now);
    /// Returns the most recently used idle connection, or a new one if the budget allows it, or
    /// else null.
    Entry *availableConnection(SteadyTime now);
    int busyConnections() const;
    void sendOn(Entry &entry, WaitingCall waiting);
    /// Removes the closed connections, or all connections that carry no call if `allIdle` is set.
    void removeConnections(bool allIdle);
    void onIdleClosed(const Entry &entry);
    void scheduleTimer(SteadyTime now);

    event_base *m_loop;
    const Clock &m_clock;
    Address m_address;
    ConnectionBudget m_budget;
    ResetHook m_onReset;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::deque<WaitingCall> m_calls;
    std::deque<WaitingCall> m_cancels;
    bool m_isCloseIdleRequested = false;
    Timer m_timer;
};

} // namespace pimentoward
