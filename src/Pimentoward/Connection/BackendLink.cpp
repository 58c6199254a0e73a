#include "Pimentoward/Connection/BackendLink.h"

#include <algorithm>
#include <cassert>

namespace pimentoward {

BackendLink::BackendLink(event_base *loop, BackendRecord record, const ColdLimit::Settings &cold,
                         SteadyTime now, FreeCapacityHook onFreeCapacity, MemoryBudget *replyMemory)
    : m_loop(loop)
    , m_record(std::move(record))
    , m_replyMemory(replyMemory)
    , m_onFreeCapacity(std::move(onFreeCapacity))
    , m_coldLimit(cold)
    , m_cleanupTimer(loop, [this] { m_closedConnections.clear(); })
{
    m_coldLimit.changeColdUntil(now + m_record.coldLeft);
}

void BackendLink::changeRecord(BackendRecord record, SteadyTime now)
{
    // A rebuilt list repeats records that have not changed; their cold time must not start again.
    if (record.coldLeft != m_record.coldLeft) {
        m_coldLimit.changeColdUntil(now + record.coldLeft);
    }
    m_record = std::move(record);
}

void BackendLink::changeMaxConnections(unsigned connections)
{
    m_maxConnections = connections;
    m_concurrencyLimit.changeMaximum(connections);
}

std::size_t BackendLink::busyConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &connection) { return connection->isBusy(); }));
}

bool BackendLink::hasFreeCapacity() const
{
    if (!m_isInService || !m_concurrencyLimit.allows(busyConnections())) {
        return false;
    }
    if (m_connections.size() < m_maxConnections) {
        return true;
    }
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &connection) {
        return !connection->isBusy() && connection->isReusable();
    });
}

BackendConnection *BackendLink::freeConnection()
{
    // The connection used last is the least likely to have been closed by the backend server.
    for (auto it = m_connections.rbegin(); it != m_connections.rend(); ++it) {
        if (!(*it)->isBusy() && (*it)->isReusable()) {
            std::rotate(it.base() - 1, it.base(), m_connections.end());
            return m_connections.back().get();
        }
    }
    return nullptr;
}

BackendConnection *BackendLink::send(const BackendConnection::Exchange &exchange, DoneHook done)
{
    assert(hasFreeCapacity());
    BackendConnection *connection = freeConnection();
    if (connection == nullptr) {
        ++m_connectionsOpened;
        m_connections.push_back(std::make_unique<BackendConnection>(
            m_loop, m_record.address, [this](BackendConnection &closed) { remove(closed); },
            m_replyMemory));
        connection = m_connections.back().get();
    }
    connection->send(exchange,
                     [this, connection, done = std::move(done)](ExchangeOutcome outcome,
                                                                HttpReplyMessage reply) {
                         done(outcome, std::move(reply));
                         afterExchange(*connection);
                     });
    return connection;
}

void BackendLink::afterExchange(BackendConnection &connection)
{
    if (!connection.isBusy() && (!connection.isReusable() || !m_isInService)) {
        remove(connection);
    }
    m_onFreeCapacity(*this);
}

void BackendLink::cancel(BackendConnection *connection)
{
    const auto found = find(*connection);
    assert(found != m_connections.end());
    m_connections.erase(found);
    m_onFreeCapacity(*this);
}

void BackendLink::takeOutOfService()
{
    m_isInService = false;
    m_connections.erase(
        std::remove_if(m_connections.begin(), m_connections.end(),
                       [](const auto &connection) { return !connection->isBusy(); }),
        m_connections.end());
}

BackendLink::Connections::iterator BackendLink::find(const BackendConnection &connection)
{
    return std::find_if(m_connections.begin(), m_connections.end(),
                        [&](const auto &entry) { return entry.get() == &connection; });
}

void BackendLink::remove(BackendConnection &connection)
{
    const auto found = find(connection);
    if (found == m_connections.end()) {
        return;
    }
    // The hook of this connection may be running, so the connection is destroyed from the loop.
    m_closedConnections.push_back(std::move(*found));
    m_connections.erase(found);
    m_cleanupTimer.startOnce(Duration::zero());
}

} // namespace pimentoward
