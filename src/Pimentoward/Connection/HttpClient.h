#pragma once

#include "Pimentoward/Connection/HttpConnection.h"

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
    /// Calls sent so far.
    std::uint64_t calls() const { return m_calls; }

private:
    event_base *m_loop;
    Address m_address;
    std::vector<std::unique_ptr<HttpConnection>> m_connections;
    std::uint64_t m_calls = 0;
};

} // namespace pimentoward
