#include "Pimentoward/Connection/HttpClient.h"

#include <algorithm>

namespace pimentoward {

HttpClient::HttpClient(event_base *loop, const Address &address)
    : m_loop(loop)
    , m_address(address)
{ }

void HttpClient::send(const HttpCall &call, HttpConnection::DoneHook done)
{
    ++m_calls;
    const auto free = std::find_if(m_connections.begin(), m_connections.end(),
                                   [](const auto &connection) { return !connection->isBusy(); });
    if (free != m_connections.end()) {
        (*free)->send(call, std::move(done));
        return;
    }
    m_connections.push_back(std::make_unique<HttpConnection>(m_loop, m_address));
    m_connections.back()->send(call, std::move(done));
}

} // namespace pimentoward
