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
    /// `hooks` are passed to each connection, except onClosed, which the server replaces.
    CallerServer(event_base *loop, CallerConnection::Hooks hooks);
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

private:
    void accept(int socket);
    void acceptPending();
    void remove(CallerConnection &connection);
    std::vector<CallerConnection *> allConnections() const;

    event_base *m_loop;
    CallerConnection::Hooks m_hooks;
    CallerLimits m_limits;
    evconnlistener *m_listener = nullptr;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
    bool m_keepsConnections = true;
};

} // namespace pimentoward
