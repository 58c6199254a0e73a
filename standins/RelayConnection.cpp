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

/// Maximum number of queued bytes in one direction. Above it, the relay stops reading from the
/// sender.
constexpr std::size_t maxQueuedBytes = 4'194'304;

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

void disableNagle(bufferevent *stream)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

RelayConnection::RelayConnection(event_base *loop, int acceptedSocket, const Address &target,
                                 const RelayLinkSettings &settings, RelayMode mode,
                                 std::uint32_t seed, EndHook onEnd)
    : m_onEnd(std::move(onEnd))
    , m_toTarget(loop, *this, settings, seed)
    , m_toCaller(loop, *this, settings, seed + 1)
    , m_endTimer(loop, [this] { m_onEnd(); })
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
    disableNagle(caller);
    disableNagle(remote);
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
    const auto apply = [](Direction &direction, bool isCut) {
        if (isCut) {
            direction.queue.cut();
        } else {
            direction.queue.heal();
        }
    };
    apply(m_toTarget, mode == RelayMode::Cut || mode == RelayMode::CutToTarget);
    apply(m_toCaller, mode == RelayMode::Cut || mode == RelayMode::CutToCaller);
    for (Direction *direction : {&m_toTarget, &m_toCaller}) {
        updateReading(*direction);
        scheduleDelivery(*direction);
    }
}

void RelayConnection::updateSettings(const RelayLinkSettings &settings)
{
    m_toTarget.queue.updateSettings(settings);
    m_toCaller.queue.updateSettings(settings);
}

RelayConnection::Direction &RelayConnection::directionFrom(bufferevent *stream)
{
    return stream == m_toTarget.from ? m_toTarget : m_toCaller;
}

void RelayConnection::onRead(bufferevent *stream, void *self)
{
    auto *connection = static_cast<RelayConnection *>(self);
    connection->readFrom(connection->directionFrom(stream));
}

void RelayConnection::onEvent(bufferevent *stream, short events, void *self)
{
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    auto *connection = static_cast<RelayConnection *>(self);
    Direction &direction = connection->directionFrom(stream);
    // `hasEnded` is set before the remaining bytes are read, so that reading is not enabled again:
    // a closed stream would report its end repeatedly.
    direction.hasEnded = true;
    connection->readFrom(direction);
    // The close is queued as an empty chunk, so that it is delayed like the bytes before it.
    direction.queue.push({}, connection->m_clock.now());
    connection->scheduleDelivery(direction);
}

void RelayConnection::readFrom(Direction &direction)
{
    evbuffer *input = bufferevent_get_input(direction.from);
    if (const std::size_t size = evbuffer_get_length(input); size > 0) {
        std::string bytes(size, '\0');
        evbuffer_remove(input, bytes.data(), size);
        direction.queue.push(std::move(bytes), m_clock.now());
        scheduleDelivery(direction);
    }
    updateReading(direction);
}

void RelayConnection::updateReading(Direction &direction)
{
    if (m_mode == RelayMode::Frozen || direction.queue.bytes() > maxQueuedBytes) {
        bufferevent_disable(direction.from, EV_READ);
    } else if (!direction.hasEnded) {
        bufferevent_enable(direction.from, EV_READ);
    }
}

void RelayConnection::deliver(Direction &direction)
{
    const std::string bytes = direction.queue.takeDue(m_clock.now());
    bufferevent_write(direction.to, bytes.data(), bytes.size());
    if (direction.hasEnded && direction.queue.isEmpty()) {
        // The event loop gets one more iteration in which it writes the last bytes.
        constexpr std::chrono::milliseconds flushTime {1};
        m_endTimer.startOnce(flushTime);
        return;
    }
    updateReading(direction);
    scheduleDelivery(direction);
}

void RelayConnection::scheduleDelivery(Direction &direction)
{
    if (const auto due = direction.queue.nextDue()) {
        direction.timer.startOnce(*due - m_clock.now());
    } else {
        direction.timer.stop();
    }
}

} // namespace pimentoward::standins
