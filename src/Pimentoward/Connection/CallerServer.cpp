#include "Pimentoward/Connection/CallerServer.h"

#include "Pimentoward/Core/Log.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace pimentoward {

namespace {

/// Time after which accepting is tried again while no open connection may be closed.
constexpr std::chrono::milliseconds acceptPause {50};
/// Time for which a count of the connections to backend servers is used; counting takes a step for
/// each backend server.
constexpr std::chrono::seconds backendCountPeriod {1};

} // namespace

CallerServer::CallerServer(event_base *loop, const CallerBudget::Settings &budget, Hooks hooks)
    : m_loop(loop)
    , m_hooks(std::move(hooks))
    , m_budget(budget)
    , m_acceptTimer(loop, [this] { resumeAccepting(); })
{
    m_hooks.connection.onClosed = [this](CallerConnection &connection) { remove(connection); };
    if (m_budget.isLimited()) {
        m_hooks.connection.onUsageChanged
            = [this](CallerConnection &connection) { onUsageChanged(connection); };
    }
}

CallerServer::~CallerServer()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
}

void CallerServer::stopListening()
{
    if (m_listener != nullptr) {
        // Closing the listener resets the connections that it has not accepted, although their
        // callers may have sent requests already.
        acceptPending();
        evconnlistener_free(m_listener);
        m_listener = nullptr;
    }
}

void CallerServer::acceptPending()
{
    const int listener = evconnlistener_get_fd(m_listener);
    for (int socket = 0; socket >= 0;) {
        socket = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            accept(socket);
        }
    }
}

bool CallerServer::listen(const Address &address, Reason &reason)
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &local.sin_addr);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int,
                             void *self) { static_cast<CallerServer *>(self)->accept(socket); };
    constexpr int backlog = 1024;
    m_listener = evconnlistener_new_bind(m_loop, onAccept, this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
                                         reinterpret_cast<const sockaddr *>(&local), sizeof(local));
    if (m_listener == nullptr) {
        reason = {ResultCode::InvalidSetting,
                  "cannot listen on " + address.toString() + ": " + std::strerror(errno)};
        return false;
    }
    const auto onError = [](evconnlistener *, void *) {
        LOG4CPLUS_WARN(Log::part("callers"),
                       "event=accept-failed error=\"" << std::strerror(errno) << "\"");
    };
    evconnlistener_set_error_cb(m_listener, onError);
    return true;
}

void CallerServer::accept(int socket)
{
    if (!makeRoom()) {
        evutil_closesocket(socket);
        return;
    }
    auto connection = std::make_unique<CallerConnection>(m_loop, socket, ++m_lastId, m_limits,
                                                         m_hooks.connection);
    CallerConnection *accepted = connection.get();
    if (!m_keepsConnections) {
        accepted->closeAfterReply();
    }
    m_connections.emplace(accepted->id(), std::move(connection));
    if (m_budget.isLimited()) {
        onUsageChanged(*accepted);
        if (!makeRoom() && m_listener != nullptr) {
            // The callers wait in the kernel's queue.
            evconnlistener_disable(m_listener);
            m_acceptTimer.startOnce(acceptPause);
        }
    }
}

void CallerServer::resumeAccepting()
{
    if (m_listener == nullptr) {
        return;
    }
    if (makeRoom()) {
        evconnlistener_enable(m_listener);
    } else {
        m_acceptTimer.startOnce(acceptPause);
    }
}

std::size_t CallerServer::backendConnections()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now >= m_backendConnectionsUntil) {
        m_backendConnections = m_hooks.backendConnections();
        m_backendConnectionsUntil = now + backendCountPeriod;
    }
    return m_backendConnections;
}

bool CallerServer::makeRoom()
{
    while (m_budget.isLimited() && !m_budget.mayAccept(backendConnections())) {
        const auto choice = m_budget.nextToClose();
        if (!choice) {
            return false;
        }
        m_hooks.onGaveWay(*choice);
        m_connections.at(choice->connection)->abort();
    }
    return true;
}

void CallerServer::onUsageChanged(CallerConnection &connection)
{
    m_budget.update(connection.id(), connection.usage(), std::chrono::steady_clock::now());
    keepWithinMemory();
}

void CallerServer::keepWithinMemory()
{
    // A connection that gives way reports its usage, which leads here again.
    if (m_isKeepingWithinMemory) {
        return;
    }
    m_isKeepingWithinMemory = true;
    const SteadyTime now = std::chrono::steady_clock::now();
    if (m_budget.nextToGiveWay(now)) {
        // Callers take bytes of their replies without an event each time.
        for (const auto &[id, connection] : m_connections) {
            m_budget.update(id, connection->usage(), now);
        }
    }
    while (const auto choice = m_budget.nextToGiveWay(now)) {
        m_hooks.onGaveWay(*choice);
        m_connections.at(choice->connection)->giveWay();
    }
    m_isKeepingWithinMemory = false;
}

void CallerServer::remove(CallerConnection &connection)
{
    const CallerBudget::ConnectionId id = connection.id();
    m_budget.remove(id);
    m_connections.erase(id);
}

std::vector<CallerConnection *> CallerServer::allConnections() const
{
    std::vector<CallerConnection *> connections;
    connections.reserve(m_connections.size());
    for (const auto &[key, connection] : m_connections) {
        connections.push_back(connection.get());
    }
    return connections;
}

void CallerServer::closeAfterReplies()
{
    m_keepsConnections = false;
    for (const auto &[key, connection] : m_connections) {
        connection->closeAfterReply();
    }
}

std::size_t CallerServer::unanswered() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &entry) { return entry.second->isUnanswered(); }));
}

void CallerServer::closeIdle()
{
    // Closing a connection removes it from m_connections, so this iterates over a copy.
    for (CallerConnection *connection : allConnections()) {
        connection->closeIfIdle();
    }
}

} // namespace pimentoward
