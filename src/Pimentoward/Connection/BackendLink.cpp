#include "Pimentoward/Connection/BackendLink.h"

#include <algorithm>
#include <cassert>

namespace pimentoward {

BackendLink::BackendLink(event_base *loop, BackendRecord record, const ColdLimit::Settings &cold,
                         SteadyTime now, RoomHook onRoom)
    : m_loop(loop)
    , m_record(std::move(record))
    , m_onRoom(std::move(onRoom))
    , m_coldLimit(cold)
    , m_sweep(loop, [this] { m_ended.clear(); })
{
    m_coldLimit.changeCold(now + m_record.coldLeft);
}

void BackendLink::changeRecord(BackendRecord record, SteadyTime now)
{
    // A list that is built anew repeats records that have not changed.
    if (record.coldLeft != m_record.coldLeft) {
        m_coldLimit.changeCold(now + record.coldLeft);
    }
    m_record = std::move(record);
}

void BackendLink::changeShare(unsigned connections)
{
    m_share = connections;
    m_limit.changeMaximum(connections);
}

std::size_t BackendLink::busyConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &connection) { return connection->isBusy(); }));
}

bool BackendLink::hasFreeCapacity() const
{
    if (!m_isInService || !m_limit.allows(busyConnections())) {
        return false;
    }
    if (m_connections.size() < m_share) {
        return true;
    }
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &connection) {
        return !connection->isBusy() && connection->isReusable();
    });
}

BackendConnection *BackendLink::freeConnection()
{
    // The one used last is the least likely to be closed by the other side meanwhile.
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
        ++m_opened;
        m_connections.push_back(std::make_unique<BackendConnection>(
            m_loop, m_record.address, [this](BackendConnection &ended) { remove(ended); }));
        connection = m_connections.back().get();
    }
    connection->send(
        exchange,
        [this, connection, done = std::move(done)](ExchangeOutcome end, HttpReplyMessage reply) {
            done(end, std::move(reply));
            afterExchange(*connection);
        });
    return connection;
}

void BackendLink::afterExchange(BackendConnection &connection)
{
    if (!connection.isBusy() && (!connection.isReusable() || !m_isInService)) {
        remove(connection);
    }
    m_onRoom(*this);
}

void BackendLink::cancel(BackendConnection *connection)
{
    const auto found = find(*connection);
    assert(found != m_connections.end());
    m_connections.erase(found);
    m_onRoom(*this);
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
    // Its own hook may be what runs now, so it is destroyed from the loop.
    m_ended.push_back(std::move(*found));
    m_connections.erase(found);
    m_sweep.startOnce(Duration::zero());
}

} // namespace pimentoward
