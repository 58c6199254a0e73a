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

/// Accepts callers' connections and holds them. Belongs to one task.
class CallerServer
{
public:
    /// As those of CallerConnection; onClosed is the server's own.
    CallerServer(event_base *loop, CallerConnection::Hooks hooks);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Binds the address; false with InvalidSetting in `reason` where that fails.
    bool listen(const Address &address, Reason &reason);
    /// Limits of the connections that come from now on.
    void changeLimits(const CallerLimits &limits) { m_limits = limits; }
    /// From now on each connection, also a new one, ends after its next reply.
    void closeAfterReplies();
    /// Takes no further connections.
    void stopListening();
    /// Ends the connections on which no request runs.
    void closeIdle();
    std::size_t connections() const { return m_connections.size(); }

private:
    void accept(int socket);
    void remove(CallerConnection &connection);
    std::vector<CallerConnection *> all() const;

    event_base *m_loop;
    CallerConnection::Hooks m_hooks;
    CallerLimits m_limits;
    evconnlistener *m_listener = nullptr;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
    bool m_keepsConnections = true;
};

} // namespace pimentoward
