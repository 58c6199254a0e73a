#include "Pimentoward/Connection/BackendConnection.h"

#include "Pimentoward/Connection/SocketOptions.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

#include <algorithm>
#include <cassert>
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
    : m_reader(HttpReader::Direction::Replies, {})
    , m_timer(loop, [this] { onTimer(); })
    , m_closed(std::move(closed))
    , m_idleLimit(defaultIdleLimit)
{
    m_stream = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    const auto onRead
        = [](bufferevent *, void *self) { static_cast<BackendConnection *>(self)->onReadable(); };
    const auto onEventHook = [](bufferevent *, short what, void *self) {
        static_cast<BackendConnection *>(self)->onEvent(what);
    };
    bufferevent_setcb(m_stream, onRead, nullptr, onEventHook, this);
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &remote.sin_addr);
    m_timer.startOnce(connectTimeout);
    bufferevent_socket_connect(m_stream, reinterpret_cast<const sockaddr *>(&remote),
                               sizeof(remote));
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

BackendConnection::~BackendConnection()
{
    bufferevent_free(m_stream);
}

void BackendConnection::send(const Exchange &exchange, DoneHook done)
{
    assert(!isBusy());
    m_done = std::move(done);
    m_requestId = exchange.requestId;
    m_requestIdHeader = exchange.requestIdHeader;
    m_reader.expectReplyTo(exchange.method);
    if (!m_isConnected) {
        m_unsent = exchange.bytes;
        return;
    }
    m_timer.stop();
    bufferevent_write(m_stream, exchange.bytes.data(), exchange.bytes.size());
}

void BackendConnection::onConnected()
{
    m_isConnected = true;
    setLowDelay(bufferevent_getfd(m_stream));
    setUserTimeout(bufferevent_getfd(m_stream), backendUserTimeout);
    m_timer.stop();
    if (!isBusy()) {
        m_timer.startOnce(m_idleLimit);
        return;
    }
    bufferevent_write(m_stream, m_unsent.data(), m_unsent.size());
    m_unsent.clear();
}

void BackendConnection::onEvent(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        onConnected();
        return;
    }
    m_isSpent = true;
    if (!isBusy()) {
        m_closed(*this);
        return;
    }
    if (!m_isConnected) {
        finish(ExchangeEnd::NotSent, {});
        return;
    }
    readReplies();
    const bool endedInOrder = (what & BEV_EVENT_EOF) != 0;
    if (!isBusy()) {
        return;
    }
    if (endedInOrder && m_reader.hasBegun()
        && m_reader.readEnd() == HttpReader::Progress::Finished) {
        onReply(m_reader.takeReply());
        if (!isBusy()) {
            return;
        }
    }
    finish(ExchangeEnd::Broken, {});
}

void BackendConnection::onReadable()
{
    if (!isBusy()) {
        // Bytes that nobody asked for: what follows can no longer be told apart.
        m_isSpent = true;
        m_closed(*this);
        return;
    }
    readReplies();
}

void BackendConnection::readReplies()
{
    evbuffer *input = bufferevent_get_input(m_stream);
    while (isBusy() && evbuffer_get_length(input) > 0) {
        evbuffer_iovec piece {};
        evbuffer_peek(input, -1, nullptr, &piece, 1);
        std::size_t used = 0;
        const auto progress
            = m_reader.read({static_cast<const char *>(piece.iov_base), piece.iov_len}, used);
        evbuffer_drain(input, used);
        if (progress == HttpReader::Progress::Unfinished) {
            continue;
        }
        if (progress != HttpReader::Progress::Finished) {
            m_isSpent = true;
            finish(ExchangeEnd::Broken, {});
            return;
        }
        onReply(m_reader.takeReply());
    }
}

void BackendConnection::onReply(HttpReplyMessage reply)
{
    const std::string_view answered = reply.headers.value(m_requestIdHeader);
    if (!answered.empty() && answered != m_requestId) {
        ++m_strayReplies;
        m_isSpent = true;
        return;
    }
    noteLifetime(reply);
    finish(ExchangeEnd::Replied, std::move(reply));
}

void BackendConnection::noteLifetime(const HttpReplyMessage &reply)
{
    const bool hasSurplusInput = evbuffer_get_length(bufferevent_get_input(m_stream)) > 0;
    // A reply that came before the whole request had left: the rest is still due there.
    const bool isEarly = evbuffer_get_length(bufferevent_get_output(m_stream)) > 0;
    m_isSpent = m_isSpent || !reply.keepsConnection || hasSurplusInput || isEarly;
    if (const auto stated = statedIdleTime(reply.headers)) {
        m_idleLimit = std::max<Duration>(*stated - idleMargin, idleMargin);
    }
}

void BackendConnection::finish(ExchangeEnd end, HttpReplyMessage reply)
{
    const DoneHook done = std::move(m_done);
    m_done = nullptr;
    if (end != ExchangeEnd::Replied) {
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
        finish(ExchangeEnd::NotSent, {});
        return;
    }
    m_closed(*this);
}

} // namespace pimentoward
