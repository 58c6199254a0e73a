#include "Pimentoward/Connection/HttpClient.h"

#include <algorithm>
#include <iterator>

namespace pimentoward {

namespace {

/// How often connections to a former address are looked through.
constexpr std::chrono::milliseconds formerPeriod {500};

} // namespace

HttpClient::HttpClient(event_base *loop, const Address &address)
    : m_loop(loop)
    , m_address(address)
    , m_formerTimer(loop, [this] { removeFormer(); })
{ }

void HttpClient::changeAddress(const Address &address)
{
    m_address = address;
    std::move(m_connections.begin(), m_connections.end(), std::back_inserter(m_former));
    m_connections.clear();
    m_formerTimer.startOnce(formerPeriod);
}

void HttpClient::removeFormer()
{
    m_former.erase(std::remove_if(m_former.begin(), m_former.end(),
                                  [](const auto &connection) { return !connection->isBusy(); }),
                   m_former.end());
    if (!m_former.empty()) {
        m_formerTimer.startOnce(formerPeriod);
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
