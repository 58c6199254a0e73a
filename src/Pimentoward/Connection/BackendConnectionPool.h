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

/// The connections of one owner to one backend server, within their budget. The connection used
/// last is reused first. Calls wait for a connection in order; cancels go first and always find
/// one, as the last connection is theirs alone.
class BackendConnectionPool
{
public:
    /// Runs where connections that were in use a moment ago have been closed by the other side.
    using ResetHook = std::function<void()>;

    BackendConnectionPool(event_base *loop, const Clock &clock, const Address &address,
                          const ConnectionBudget::Settings &budget, ResetHook onReset);
    BackendConnectionPool(const BackendConnectionPool &) = delete;
    BackendConnectionPool &operator=(const BackendConnectionPool &) = delete;

    /// Makes a call directly before it is sent, or gives the reason why it must not be.
    using CallSource = std::function<std::optional<HttpCall>(Reason &)>;

    /// Sends one call as soon as a connection is free. The hook runs from the loop, never inside
    /// this function; it gets NotRunOverloaded where none was free until `giveUp`, or the source's
    /// reason: no byte has left then.
    void send(CallSource source, SteadyTime giveUp, HttpConnection::DoneHook done);
    /// Sends a cancel; it may be dropped without notice where too many wait.
    void sendCancel(const HttpCall &call, HttpConnection::DoneHook done);
    /// This VM has become the owner again.
    void onOwnershipRegained() { m_budget.onOwnershipRegained(m_clock.now()); }
    /// Closes all connections that carry no call, from the loop; as when ownership is lost.
    void closeIdle();
    int connections() const { return m_budget.open(); }
    std::size_t waiting() const { return m_calls.size() + m_cancels.size(); }

private:
    struct Waiting
    {
        CallSource source;
        HttpConnection::DoneHook done;
        SteadyTime giveUp;
    };
    struct Entry
    {
        std::unique_ptr<HttpConnection> connection;
        SteadyTime lastUsed;
    };

    /// Gives connections to what waits; runs from the loop, never inside send().
    void pump();
    void giveUpLate(std::deque<Waiting> &queue, SteadyTime now);
    /// The free connection that was used last, or a new one where the budget allows it.
    Entry *freeConnection(SteadyTime now);
    int busy() const;
    void sendOn(Entry &entry, Waiting waiting);
    /// Drops the connections that have been closed, or all that carry no call.
    void drop(bool allIdle);
    void onIdleClosed(const Entry &entry);
    void schedule(SteadyTime now);

    event_base *m_loop;
    const Clock &m_clock;
    Address m_address;
    ConnectionBudget m_budget;
    ResetHook m_onReset;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::deque<Waiting> m_calls;
    std::deque<Waiting> m_cancels;
    bool m_closesIdle = false;
    Timer m_timer;
};

} // namespace pimentoward
