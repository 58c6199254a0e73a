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

/// An opening that takes longer than this has failed.
constexpr std::chrono::milliseconds connectTimeout {1000};
/// Unacknowledged bytes that are older than this end the connection.
constexpr std::chrono::milliseconds backendUserTimeout {1500};
/// Idle time after which a connection is given up where the backend server states none.
constexpr std::chrono::seconds defaultIdleLimit {20};
/// A connection is given up this long before the backend server's own limit.
constexpr std::chrono::milliseconds idleMargin {700};
/// Bytes read at a time; a part of a fan-out's answer is far shorter.
constexpr std::size_t readBytes = 16'384;

std::optional<std::chrono::seconds> statedIdleTime(const HttpHeaders &headers)
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

BackendConnection::BackendConnection(event_base *loop, const Address &address, ClosedHook closed)
    : m_loop(loop)
    , m_reader(HttpReader::Direction::Replies, {})
    , m_timer(loop, [this] { onTimer(); })
    , m_closed(std::move(closed))
    , m_idleLimit(defaultIdleLimit)
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
    m_readable = event_new(m_loop, m_socket, EV_READ | EV_PERSIST, onRead, this);
    m_writable = event_new(m_loop, m_socket, EV_WRITE, onWrite, this);
    event_add(m_writable, nullptr);
}

BackendConnection::~BackendConnection()
{
    for (event *entry : {m_readable, m_writable}) {
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
    onEnded(false);
}

void BackendConnection::onConnected()
{
    m_isConnected = true;
    setLowDelay(m_socket);
    setUserTimeout(m_socket, backendUserTimeout);
    event_add(m_readable, nullptr);
    m_timer.stop();
    if (!isBusy()) {
        m_timer.startOnce(m_idleLimit);
        return;
    }
    flush();
}

void BackendConnection::flush()
{
    const ssize_t sent = ::send(m_socket, m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
    // An error shows as the end of the connection when it is read.
    const bool isBroken = sent < 0 && errno != EAGAIN;
    if (sent > 0) {
        m_unsent.erase(0, static_cast<std::size_t>(sent));
    }
    if (!m_unsent.empty() && !isBroken) {
        event_add(m_writable, nullptr);
    }
}

void BackendConnection::onReadable()
{
    std::array<char, readBytes> bytes;
    const ssize_t size = recv(m_socket, bytes.data(), bytes.size(), 0);
    if (size < 0 && errno == EAGAIN) {
        return;
    }
    if (size <= 0) {
        onEnded(size == 0);
        return;
    }
    if (isBusy()) {
        read({bytes.data(), static_cast<std::size_t>(size)});
        return;
    }
    // Bytes that nobody asked for: what follows can no longer be told apart.
    m_isSpent = true;
    event_del(m_readable);
    m_closed(*this);
}

void BackendConnection::onEnded(bool isInOrder)
{
    m_isSpent = true;
    event_del(m_readable);
    if (!isBusy()) {
        m_closed(*this);
        return;
    }
    if (!m_isConnected) {
        finish(ExchangeOutcome::NotSent, {});
        return;
    }
    if (isInOrder && m_reader.hasBegun() && m_reader.readEnd() == HttpReader::Progress::Finished) {
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
        if (progress == HttpReader::Progress::Unfinished) {
            continue;
        }
        if (progress != HttpReader::Progress::Finished) {
            finish(ExchangeOutcome::Broken, {});
            return;
        }
        onReply(m_reader.takeReply(), !bytes.empty());
    }
}

void BackendConnection::onReply(HttpReplyMessage reply, bool hasSurplus)
{
    const std::string_view answered = reply.headers.value(m_requestIdHeader);
    if (!answered.empty() && answered != m_requestId) {
        m_isSpent = true;
        return;
    }
    noteLifetime(reply, hasSurplus);
    finish(ExchangeOutcome::Replied, std::move(reply));
}

void BackendConnection::noteLifetime(const HttpReplyMessage &reply, bool hasSurplus)
{
    // A reply that came before the whole request had left: the rest is still due there.
    const bool isEarly = !m_unsent.empty();
    m_isSpent = m_isSpent || !reply.keepsConnection || hasSurplus || isEarly;
    if (const auto stated = statedIdleTime(reply.headers)) {
        m_idleLimit = std::max<Duration>(*stated - idleMargin, idleMargin);
    }
}

void BackendConnection::finish(ExchangeOutcome end, HttpReplyMessage reply)
{
    const DoneHook done = std::move(m_done);
    m_done = nullptr;
    if (end != ExchangeOutcome::Replied) {
        m_isSpent = true;
    }
    if (!m_isSpent) {
        m_timer.startOnce(m_idleLimit);
    }
    done(end, std::move(reply));
}

void BackendConnection::onTimer()
{
    m_isSpent = true;
    if (isBusy()) {
        finish(ExchangeOutcome::NotSent, {});
        return;
    }
    m_closed(*this);
}

} // namespace pimentoward
