#pragma once

#include "Pimentoward/Connection/HttpConnection.h"
#include "Pimentoward/Process/Timer.h"

#include <memory>
#include <vector>

struct event_base;

namespace pimentoward {

/// Calls to one server over as many connections as are needed at a time; they are reused.
class HttpClient
{
public:
    HttpClient(event_base *loop, const Address &address);

    /// Sends one call on a connection that is free, or on a new one.
    void send(const HttpCall &call, HttpConnection::DoneHook done);
    /// Calls from now on go to `address`; those that run end where they are.
    void changeAddress(const Address &address);
    /// Calls sent so far.
    std::uint64_t calls() const { return m_calls; }

private:
    using Connections = std::vector<std::unique_ptr<HttpConnection>>;

    void removeFormer();

    event_base *m_loop;
    Address m_address;
    Connections m_connections;
    /// Connections to addresses before; kept until their calls have ended.
    Connections m_former;
    Timer m_formerTimer;
    std::uint64_t m_calls = 0;
};

} // namespace pimentoward
