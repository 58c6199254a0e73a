#pragma once

#include "Pimentoward/Connection/HttpConnection.h"
#include "Pimentoward/Process/Timer.h"

#include <memory>
#include <vector>

struct event_base;

namespace pimentoward {

/// Sends calls to one server. Reuses its idle connections, and opens a new one if all are busy.
class HttpClient
{
public:
    HttpClient(event_base *loop, const Address &address);

    /// Sends one call on an idle connection, or on a new one if none is idle.
    void send(const HttpCall &call, HttpConnection::DoneHook done);
    /// Sends further calls to `address`. Running calls continue on their connections.
    void changeAddress(const Address &address);
    /// True if no call is running.
    bool isIdle() const;
    /// Number of calls sent so far.
    std::uint64_t calls() const { return m_calls; }

private:
    using Connections = std::vector<std::unique_ptr<HttpConnection>>;

    void removeIdlePrevious();

    event_base *m_loop;
    Address m_address;
    Connections m_connections;
    /// Connections to previous addresses. They are kept until their calls have ended.
    Connections m_previousConnections;
    Timer m_cleanupTimer;
    std::uint64_t m_calls = 0;
};

} // namespace pimentoward
