#include "standins/RelayConnection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pimentoward::standins {

namespace {

/// Bytes on the way in one direction, above which the sender is held back.
constexpr std::size_t mostQueued = 4'194'304;

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

void sendAtOnce(bufferevent *stream)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

RelayConnection::RelayConnection(event_base *loop, int acceptedSocket, const Address &target,
                                 const RelayLinkSettings &settings, RelayMode mode,
                                 std::uint32_t seed, EndHook end)
    : m_end(std::move(end))
    , m_toTarget(loop, *this, settings, seed)
    , m_toCaller(loop, *this, settings, seed + 1)
    , m_endTimer(loop, [this] { m_end(); })
{
    bufferevent *caller = bufferevent_socket_new(loop, acceptedSocket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent *remote = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE);
    m_toTarget.from = m_toCaller.to = caller;
    m_toCaller.from = m_toTarget.to = remote;
    bufferevent_setcb(caller, &onRead, nullptr, &onEvent, this);
    bufferevent_setcb(remote, &onRead, nullptr, &onEvent, this);
    const sockaddr_in address = socketAddress(target);
    if (bufferevent_socket_connect(remote, reinterpret_cast<const sockaddr *>(&address),
                                   sizeof(address))
        != 0) {
        m_toCaller.hasEnded = true;
        m_endTimer.startOnce(Duration::zero());
        return;
    }
    sendAtOnce(caller);
    sendAtOnce(remote);
    bufferevent_enable(caller, EV_READ | EV_WRITE);
    bufferevent_enable(remote, EV_READ | EV_WRITE);
    changeMode(mode);
}

RelayConnection::~RelayConnection()
{
    bufferevent_free(m_toTarget.from);
    bufferevent_free(m_toCaller.from);
}

void RelayConnection::changeMode(RelayMode mode)
{
    m_mode = mode;
    const auto apply = [](Way &way, bool isCut) {
        if (isCut) {
            way.queue.cut();
        } else {
            way.queue.heal();
        }
    };
    apply(m_toTarget, mode == RelayMode::Cut || mode == RelayMode::CutToTarget);
    apply(m_toCaller, mode == RelayMode::Cut || mode == RelayMode::CutToCaller);
    for (Way *way : {&m_toTarget, &m_toCaller}) {
        readMore(*way);
        schedule(*way);
    }
}

void RelayConnection::updateSettings(const RelayLinkSettings &settings)
{
    m_toTarget.queue.updateSettings(settings);
    m_toCaller.queue.updateSettings(settings);
}

RelayConnection::Way &RelayConnection::wayFrom(bufferevent *stream)
{
    return stream == m_toTarget.from ? m_toTarget : m_toCaller;
}

void RelayConnection::onRead(bufferevent *stream, void *self)
{
    auto *connection = static_cast<RelayConnection *>(self);
    connection->readFrom(connection->wayFrom(stream));
}

void RelayConnection::onEvent(bufferevent *stream, short what, void *self)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    auto *connection = static_cast<RelayConnection *>(self);
    Way &way = connection->wayFrom(stream);
    // First, so that nothing more is read: an ended stream would report its end again and again.
    way.hasEnded = true;
    connection->readFrom(way);
    // The loss of the connection travels like its bytes.
    way.queue.push({}, connection->m_clock.now());
    connection->schedule(way);
}

void RelayConnection::readFrom(Way &way)
{
    evbuffer *input = bufferevent_get_input(way.from);
    if (const std::size_t size = evbuffer_get_length(input); size > 0) {
        std::string bytes(size, '\0');
        evbuffer_remove(input, bytes.data(), size);
        way.queue.push(std::move(bytes), m_clock.now());
        schedule(way);
    }
    readMore(way);
}

void RelayConnection::readMore(Way &way)
{
    if (m_mode == RelayMode::Frozen || way.queue.bytes() > mostQueued) {
        bufferevent_disable(way.from, EV_READ);
    } else if (!way.hasEnded) {
        bufferevent_enable(way.from, EV_READ);
    }
}

void RelayConnection::deliver(Way &way)
{
    const std::string bytes = way.queue.takeDue(m_clock.now());
    bufferevent_write(way.to, bytes.data(), bytes.size());
    if (way.hasEnded && way.queue.isEmpty()) {
        // One more turn of the loop lets the last bytes leave.
        constexpr std::chrono::milliseconds lastTurn {1};
        m_endTimer.startOnce(lastTurn);
        return;
    }
    readMore(way);
    schedule(way);
}

void RelayConnection::schedule(Way &way)
{
    if (const auto due = way.queue.nextDue()) {
        way.timer.startOnce(*due - m_clock.now());
    } else {
        way.timer.stop();
    }
}

} // namespace pimentoward::standins
