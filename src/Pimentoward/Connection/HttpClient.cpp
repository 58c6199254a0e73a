#include "Pimentoward/Connection/HttpClient.h"

#include <algorithm>
#include <iterator>

namespace pimentoward {

namespace {

/// Interval at which idle connections to previous addresses are closed.
constexpr std::chrono::milliseconds cleanupPeriod {500};

} // namespace

HttpClient::HttpClient(event_base *loop, const Address &address)
    : m_loop(loop)
    , m_address(address)
    , m_cleanupTimer(loop, [this] { removeIdlePrevious(); })
{ }

void HttpClient::changeAddress(const Address &address)
{
    m_address = address;
    std::move(m_connections.begin(), m_connections.end(),
              std::back_inserter(m_previousConnections));
    m_connections.clear();
    m_cleanupTimer.startOnce(cleanupPeriod);
}

bool HttpClient::isIdle() const
{
    const auto isBusy = [](const auto &connection) { return connection->isBusy(); };
    return std::none_of(m_connections.begin(), m_connections.end(), isBusy)
        && std::none_of(m_previousConnections.begin(), m_previousConnections.end(), isBusy);
}

void HttpClient::removeIdlePrevious()
{
    m_previousConnections.erase(
        std::remove_if(m_previousConnections.begin(), m_previousConnections.end(),
                       [](const auto &connection) { return !connection->isBusy(); }),
        m_previousConnections.end());
    if (!m_previousConnections.empty()) {
        m_cleanupTimer.startOnce(cleanupPeriod);
    }
}

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
