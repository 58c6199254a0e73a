#pragma once

#include "Pimentoward/Connection/CallerConnection.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Reason.h"

#include <memory>
#include <unordered_map>
#include <vector>

struct evconnlistener;
struct event_base;

namespace pimentoward {

/// Accepts the connections of callers and owns them. Must be used from one task only.
class CallerServer
{
public:
    struct Hooks
    {
        /// Passed to each connection, except onClosed and onUsageChanged, which the server
        /// replaces.
        CallerConnection::Hooks connection;
        /// A connection has given way because of a limit of all callers together.
        std::function<void(const CallerBudget::Choice &)> onGaveWay;
        /// Returns the number of connections to backend servers. Called at most once a second.
        std::function<std::size_t()> backendConnections;
    };

    CallerServer(event_base *loop, const CallerBudget::Settings &budget, Hooks hooks);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Binds the address. On failure returns false and sets `reason` to InvalidSetting.
    bool listen(const Address &address, Reason &reason);
    /// Changes the limits of connections that are accepted from now on.
    void changeLimits(const CallerLimits &limits) { m_limits = limits; }
    /// From now on closes each connection, including new ones, after its next reply.
    void closeAfterReplies();
    /// Accepts the connections that callers have already opened, then accepts no more.
    void stopListening();
    /// Closes the connections on which no request is running, being received or waiting to be read.
    void closeIdle();
    /// Number of connections with a request that has been sent to this VM and has no reply yet,
    /// also if it has not been read completely.
    std::size_t unanswered() const;
    std::size_t connections() const { return m_connections.size(); }
    /// Memory of all connections together, in bytes; 0 if it has no limit.
    std::size_t heldBytes() const { return m_budget.bytes(); }

private:
    void accept(int socket);
    void acceptPending();
    void remove(CallerConnection &connection);
    /// Closes connections until one more may be accepted. Returns false if none may be closed.
    bool makeRoom();
    void onUsageChanged(CallerConnection &connection);
    /// Lets connections give way until the memory is within its limits.
    void keepWithinMemory();
    void resumeAccepting();
    /// Number of connections to backend servers, at most a second ago.
    std::size_t backendConnections();
    std::vector<CallerConnection *> allConnections() const;

    event_base *m_loop;
    Hooks m_hooks;
    CallerBudget m_budget;
    CallerBudget::ConnectionId m_lastId = 0;
    CallerLimits m_limits;
    evconnlistener *m_listener = nullptr;
    std::unordered_map<CallerBudget::ConnectionId, std::unique_ptr<CallerConnection>> m_connections;
    /// Runs while no connection is accepted because none of those open may be closed.
    Timer m_acceptTimer;
    bool m_isKeepingWithinMemory = false;
    std::size_t m_backendConnections = 0;
    SteadyTime m_backendConnectionsUntil {};
    bool m_keepsConnections = true;
};

} // namespace pimentoward
