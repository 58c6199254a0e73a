#pragma once

#include "Pimentoward/Connection/BackendConnection.h"
#include "Pimentoward/Connection/BackendHealth.h"
#include "Pimentoward/Connection/ColdLimit.h"
#include "Pimentoward/Connection/ConcurrencyLimit.h"
#include "Pimentoward/Version/BackendRecord.h"

#include <functional>
#include <memory>
#include <vector>

namespace pimentoward {

/// All connections of this VM to one backend server, within its share of those that the backend
/// server accepts. Belongs to one task.
class BackendLink
{
public:
    /// Runs each time that a connection has become free.
    using RoomHook = std::function<void(BackendLink &)>;
    using DoneHook = BackendConnection::DoneHook;

    /// How long the record says that it stays cold counts from `now`.
    BackendLink(event_base *loop, BackendRecord record, const ColdLimit::Settings &cold,
                SteadyTime now, RoomHook onRoom);

    const BackendRecord &record() const { return m_record; }
    /// Takes a newer record of the same run; how long it stays cold counts from `now`.
    void changeRecord(BackendRecord record, SteadyTime now);
    BackendHealth &health() { return m_health; }
    const BackendHealth &health() const { return m_health; }

    /// Another backend server has answered at this address. Nothing more is to be sent there until
    /// the store names another address or run: each request would only count as one too many for
    /// whoever is there now.
    void onMisdirected() { m_isMisdirected = true; }
    bool isMisdirected() const { return m_isMisdirected; }
    /// False where other replicas are to be used first, so that connections suffice for all VMs.
    bool isPreferred() const { return m_isPreferred; }
    void changePreferred(bool isPreferred) { m_isPreferred = isPreferred; }
    /// Connections that may stand at a time.
    void changeShare(unsigned connections);
    /// Requests that may be in flight at a time.
    ConcurrencyLimit &limit() { return m_limit; }
    /// Requests that it may get while it is cold.
    ColdLimit &coldLimit() { return m_coldLimit; }
    const ColdLimit &coldLimit() const { return m_coldLimit; }
    /// True where one more request can be sent now.
    bool hasFreeCapacity() const;
    /// Sends a request; needs room. The handle serves cancel().
    BackendConnection *send(const BackendConnection::Exchange &exchange, DoneHook done);
    /// Gives the exchange up; the backend server sees the connection close. No hook runs.
    void cancel(BackendConnection *connection);
    /// Nothing new is sent any more; free connections are closed.
    void takeOutOfService();
    std::size_t connections() const { return m_connections.size(); }
    /// Connections opened so far.
    std::uint64_t opened() const { return m_opened; }

private:
    using Connections = std::vector<std::unique_ptr<BackendConnection>>;

    std::size_t busyConnections() const;
    BackendConnection *freeConnection();
    Connections::iterator find(const BackendConnection &connection);
    void remove(BackendConnection &connection);
    void afterExchange(BackendConnection &connection);

    event_base *m_loop;
    BackendRecord m_record;
    RoomHook m_onRoom;
    BackendHealth m_health;
    ConcurrencyLimit m_limit;
    ColdLimit m_coldLimit;
    Connections m_connections;
    /// Connections that end once their own hook has returned.
    Connections m_ended;
    Timer m_sweep;
    unsigned m_share = 1;
    std::uint64_t m_opened = 0;
    bool m_isInService = true;
    bool m_isPreferred = true;
    bool m_isMisdirected = false;
};

} // namespace pimentoward
