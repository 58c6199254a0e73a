#pragma once

#include "Pimentoward/Connection/BackendConnection.h"
#include "Pimentoward/Connection/BackendHealth.h"
#include "Pimentoward/Connection/BackendNotices.h"
#include "Pimentoward/Connection/ColdLimit.h"
#include "Pimentoward/Connection/ConcurrencyLimit.h"
#include "Pimentoward/Version/BackendRecord.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pimentoward {

/// All connections of this VM to one backend server, limited to this VM's share of the connections
/// that the backend server accepts. Must be used from one task only.
class BackendLink
{
public:
    /// Runs each time an exchange ends or is cancelled, because one more request may be possible
    /// then.
    using FreeCapacityHook = std::function<void(BackendLink &)>;
    using DoneHook = BackendConnection::DoneHook;

    /// The record's remaining cold time (`coldLeft`) counts from `now`.
    /// `replyMemory` bounds the unfinished replies of all links that share it, and must outlive
    /// the link; null means no bound.
    BackendLink(event_base *loop, BackendRecord record, const ColdLimit::Settings &cold,
                SteadyTime now, FreeCapacityHook onFreeCapacity,
                MemoryBudget *replyMemory = nullptr);

    const BackendRecord &record() const { return m_record; }
    /// Applies a newer record of the same incarnation. If its remaining cold time differs from that
    /// of the previous record, it counts from `now`.
    void changeRecord(BackendRecord record, SteadyTime now);
    BackendHealth &health() { return m_health; }
    const BackendHealth &health() const { return m_health; }

    /// Records that another backend server has answered at this address. No further request may be
    /// sent there until the store lists another address or incarnation, because each one would
    /// only add load to the server that uses the address now.
    void onMisdirected() { m_isMisdirected = true; }
    bool isMisdirected() const { return m_isMisdirected; }
    /// Applies what the backend server has stated in its replies about new requests.
    void changeNotice(const BackendNotice &notice) { m_notice = notice; }
    const BackendNotice &notice() const { return m_notice; }
    /// False if other replicas are used first, so that the connections suffice for all VMs.
    bool isPreferred() const { return m_isPreferred; }
    void changePreferred(bool isPreferred) { m_isPreferred = isPreferred; }
    /// Sets the maximum number of open connections, which also caps the requests in flight.
    void changeMaxConnections(unsigned connections);
    /// Limits the requests in flight.
    ConcurrencyLimit &concurrencyLimit() { return m_concurrencyLimit; }
    /// Limits the rate of requests while the backend server is cold.
    ColdLimit &coldLimit() { return m_coldLimit; }
    const ColdLimit &coldLimit() const { return m_coldLimit; }
    /// Path of the health checks that this link needs; empty if it needs none.
    const std::string &healthPath() const { return m_healthPath; }
    void changeHealthPath(const std::string &path) { m_healthPath = path; }
    /// When the latest health check was sent.
    SteadyTime healthCheckedAt() const { return m_healthCheckedAt; }
    void changeHealthCheckedAt(SteadyTime time) { m_healthCheckedAt = time; }
    /// True if one more request can be sent now. The cold limit is checked separately.
    bool hasFreeCapacity() const;
    /// Sends a request; requires hasFreeCapacity(). The returned handle can be passed to cancel().
    BackendConnection *send(const BackendConnection::Exchange &exchange, DoneHook done);
    /// Abandons the exchange and closes its connection, which shows the backend server that the
    /// reply is no longer needed. The `DoneHook` of the exchange does not run.
    void cancel(BackendConnection *connection);
    /// Stops sending new requests and closes the idle connections.
    void takeOutOfService();
    std::size_t connections() const { return m_connections.size(); }
    /// Connections opened so far.
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
    using Connections = std::vector<std::unique_ptr<BackendConnection>>;

    std::size_t busyConnections() const;
    BackendConnection *freeConnection();
    Connections::iterator find(const BackendConnection &connection);
    void remove(BackendConnection &connection);
    void afterExchange(BackendConnection &connection);

    event_base *m_loop;
    BackendRecord m_record;
    MemoryBudget *m_replyMemory;
    FreeCapacityHook m_onFreeCapacity;
    BackendHealth m_health;
    ConcurrencyLimit m_concurrencyLimit;
    ColdLimit m_coldLimit;
    BackendNotice m_notice;
    std::string m_healthPath;
    SteadyTime m_healthCheckedAt {};
    Connections m_connections;
    /// Connections that are destroyed from the event loop, after their own hook has returned.
    Connections m_closedConnections;
    Timer m_cleanupTimer;
    unsigned m_maxConnections = 1;
    std::uint64_t m_connectionsOpened = 0;
    bool m_isInService = true;
    bool m_isPreferred = true;
    bool m_isMisdirected = false;
};

} // namespace pimentoward
