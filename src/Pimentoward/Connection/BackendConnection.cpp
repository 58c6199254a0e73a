#include "Pimentoward/Connection/BackendConnection.h"

#include "Pimentoward/Connection/SocketOptions.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <charconv>

namespace pimentoward {

namespace {

/// Connecting fails if it takes longer than this.
constexpr std::chrono::milliseconds connectTimeout {1000};
/// The connection ends if sent bytes stay unacknowledged for longer than this.
constexpr std::chrono::milliseconds backendUserTimeout {1500};
/// Idle time after which a connection is closed if the backend server sends no Keep-Alive timeout.
constexpr std::chrono::seconds defaultIdleTimeout {20};
/// An idle connection is closed this long before the timeout that the backend server states, so
/// that no request is sent while the backend server closes it. This is also the minimum idle time
/// before a connection is closed.
constexpr std::chrono::milliseconds idleMargin {700};
/// Maximum bytes per read. The reply to one part of a fan-out is far shorter.
constexpr std::size_t readBufferBytes = 16'384;

/// Reads the timeout from a "Keep-Alive: timeout=SECONDS" header.
std::optional<std::chrono::seconds> keepAliveTimeout(const HttpHeaders &headers)
{
    const std::string_view value = headers.value("Keep-Alive");
    constexpr std::string_view key = "timeout=";
    const std::size_t start = value.find(key);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *first = value.data() + start + key.size();
    if (std::from_chars(first, value.data() + value.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

BackendConnection::BackendConnection(event_base *loop, const Address &address, ClosedHook closed,
                                     MemoryBudget *memory)
    : m_loop(loop)
    , m_reader(HttpReader::Direction::Replies, {})
    , m_timer(loop, [this] { onTimer(); })
    , m_closed(std::move(closed))
    , m_idleTimeout(defaultIdleTimeout)
    , m_memory(memory)
{
    m_timer.startOnce(connectTimeout);
    open(address);
}

void BackendConnection::open(const Address &address)
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &remote.sin_addr);
    const int result
        = connect(m_socket, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote));
    if (m_socket < 0 || (result != 0 && errno != EINPROGRESS)) {
        m_timer.startOnce(Duration::zero());
        return;
    }
    const auto onRead = [](evutil_socket_t, short, void *self) {
        static_cast<BackendConnection *>(self)->onReadable();
    };
    const auto onWrite = [](evutil_socket_t, short, void *self) {
        static_cast<BackendConnection *>(self)->onWritable();
    };
    m_readEvent = event_new(m_loop, m_socket, EV_READ | EV_PERSIST, onRead, this);
    m_writeEvent = event_new(m_loop, m_socket, EV_WRITE, onWrite, this);
    event_add(m_writeEvent, nullptr);
}

BackendConnection::~BackendConnection()
{
    releaseMemory();
    for (event *entry : {m_readEvent, m_writeEvent}) {
        if (entry != nullptr) {
            event_free(entry);
        }
    }
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

void BackendConnection::send(const Exchange &exchange, DoneHook done)
{
    assert(!isBusy());
    m_done = std::move(done);
    m_requestId = exchange.requestId;
    m_requestIdHeader = exchange.requestIdHeader;
    m_reader.expectReplyTo(exchange.method);
    m_unsent = exchange.bytes;
    if (m_isConnected) {
        m_timer.stop();
        flush();
    }
}

void BackendConnection::onWritable()
{
    if (m_isConnected) {
        flush();
        return;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error == 0) {
        onConnected();
        return;
    }
    onDisconnected(false);
}

void BackendConnection::onConnected()
{
    m_isConnected = true;
    setLowDelay(m_socket);
    setUserTimeout(m_socket, backendUserTimeout);
    event_add(m_readEvent, nullptr);
    m_timer.stop();
    if (!isBusy()) {
        m_timer.startOnce(m_idleTimeout);
        return;
    }
    flush();
}

void BackendConnection::flush()
{
    const ssize_t sent = ::send(m_socket, m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
    // An error of send() is handled when the following read reports the end of the connection.
    const bool isBroken = sent < 0 && errno != EAGAIN;
    if (sent > 0) {
        m_unsent.erase(0, static_cast<std::size_t>(sent));
    }
    if (!m_unsent.empty() && !isBroken) {
        event_add(m_writeEvent, nullptr);
    }
}

void BackendConnection::onReadable()
{
    std::array<char, readBufferBytes> bytes;
    const ssize_t size = recv(m_socket, bytes.data(), bytes.size(), 0);
    if (size < 0 && errno == EAGAIN) {
        return;
    }
    if (size <= 0) {
        onDisconnected(size == 0);
        return;
    }
    if (isBusy()) {
        read({bytes.data(), static_cast<std::size_t>(size)});
        return;
    }
    // These bytes belong to no request, so a later reply could not be told apart from them.
    m_isRetired = true;
    event_del(m_readEvent);
    m_closed(*this);
}

void BackendConnection::onDisconnected(bool isOrderlyShutdown)
{
    m_isRetired = true;
    event_del(m_readEvent);
    if (!isBusy()) {
        m_closed(*this);
        return;
    }
    if (!m_isConnected) {
        finish(ExchangeOutcome::NotSent, {});
        return;
    }
    if (isOrderlyShutdown && m_reader.hasBegun()
        && m_reader.readEnd() == HttpReader::Progress::Finished) {
        onReply(m_reader.takeReply(), false);
    }
    if (isBusy()) {
        finish(ExchangeOutcome::Broken, {});
    }
}

void BackendConnection::read(std::string_view bytes)
{
    while (isBusy() && !bytes.empty()) {
        std::size_t used = 0;
        const auto progress = m_reader.read(bytes, used);
        bytes.remove_prefix(used);
        if (progress == HttpReader::Progress::Unfinished && reserveMemory()) {
            continue;
        }
        if (progress != HttpReader::Progress::Finished) {
            finish(ExchangeOutcome::Broken, {});
            return;
        }
        onReply(m_reader.takeReply(), !bytes.empty());
    }
}

bool BackendConnection::reserveMemory()
{
    if (m_memory == nullptr) {
        return true;
    }
    const std::size_t held = m_reader.bufferedBytes();
    if (held > m_reservedBytes && !m_memory->tryReserve(held - m_reservedBytes)) {
        return false;
    }
    m_reservedBytes = std::max(m_reservedBytes, held);
    return true;
}

void BackendConnection::releaseMemory()
{
    if (m_memory != nullptr) {
        m_memory->release(m_reservedBytes);
    }
    m_reservedBytes = 0;
}

void BackendConnection::onReply(HttpReplyMessage reply, bool hasTrailingBytes)
{
    const std::string_view repliedId = reply.headers.value(m_requestIdHeader);
    if (!repliedId.empty() && repliedId != m_requestId) {
        m_isRetired = true;
        releaseMemory();
        return;
    }
    if (repliedId.empty() && m_wasUsed && !m_requestIdHeader.empty()) {
        finish(ExchangeOutcome::Broken, {});
        return;
    }
    updateLifetime(reply, hasTrailingBytes);
    finish(ExchangeOutcome::Replied, std::move(reply));
}

void BackendConnection::updateLifetime(const HttpReplyMessage &reply, bool hasTrailingBytes)
{
    // If the reply arrived before the whole request was sent, the backend server still expects the
    // rest of the request on this connection.
    const bool isEarly = !m_unsent.empty();
    m_isRetired = m_isRetired || !reply.keepsConnection || hasTrailingBytes || isEarly;
    if (const auto keepAlive = keepAliveTimeout(reply.headers)) {
        m_idleTimeout = std::max<Duration>(*keepAlive - idleMargin, idleMargin);
    }
}

void BackendConnection::finish(ExchangeOutcome outcome, HttpReplyMessage reply)
{
    const DoneHook done = std::move(m_done);
    m_done = nullptr;
    m_wasUsed = true;
    releaseMemory();
    if (outcome != ExchangeOutcome::Replied) {
        m_isRetired = true;
    }
    if (!m_isRetired) {
        m_timer.startOnce(m_idleTimeout);
    }
    done(outcome, std::move(reply));
}

void BackendConnection::onTimer()
{
    m_isRetired = true;
    if (isBusy()) {
        finish(ExchangeOutcome::NotSent, {});
        return;
    }
    m_closed(*this);
}

} // namespace pimentoward
