#include "Pimentoward/Connection/CallerConnection.h"

#include "Pimentoward/Connection/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace pimentoward {

namespace {

constexpr int badRequest = 400;
constexpr int requestTimeoutStatus = 408;
constexpr int contentTooLarge = 413;
constexpr int headersTooLarge = 431;
/// Maximum bytes of further requests that are buffered while one is being served.
constexpr std::size_t readAheadBytes = 65'536;
/// How long a caller may take to close its side after it has read the last reply of a connection.
constexpr std::chrono::seconds lingerTimeout {5};
/// A caller that reads no byte of a reply for this time is disconnected.
constexpr timeval writeTimeout {
    std::chrono::duration_cast<std::chrono::seconds>(callerUserTimeout).count(), 0};

HttpReader::Limits readerLimits(const CallerLimits &limits)
{
    return {limits.headBytes, limits.bodyBytes};
}

} // namespace

CallerConnection::CallerConnection(event_base *loop, int socket, const CallerLimits &limits,
                                   const Hooks &hooks)
    : m_limits(limits)
    , m_hooks(hooks)
    , m_reader(HttpReader::Direction::Requests, readerLimits(limits))
    , m_timer(loop, [this] { onTimeout(); })
{
    setLowDelay(socket);
    setUserTimeout(socket, callerUserTimeout);
    m_stream = bufferevent_socket_new(loop, socket, BEV_OPT_CLOSE_ON_FREE);
    const auto onRead
        = [](bufferevent *, void *self) { static_cast<CallerConnection *>(self)->onReadable(); };
    const auto onWrite
        = [](bufferevent *, void *self) { static_cast<CallerConnection *>(self)->onWritten(); };
    const auto onEvent = [](bufferevent *, short, void *self) {
        static_cast<CallerConnection *>(self)->onDisconnected();
    };
    bufferevent_setcb(m_stream, onRead, onWrite, onEvent, this);
    bufferevent_set_timeouts(m_stream, nullptr, &writeTimeout);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    startIdleTimer();
}

CallerConnection::~CallerConnection()
{
    bufferevent_free(m_stream);
}

void CallerConnection::startIdleTimer()
{
    m_timer.startOnce(m_limits.idleTimeout);
}

void CallerConnection::onReadable()
{
    if (m_isClosing) {
        evbuffer *input = bufferevent_get_input(m_stream);
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (!m_isServing) {
        readNextRequest();
    }
}

void CallerConnection::readNextRequest()
{
    evbuffer *input = bufferevent_get_input(m_stream);
    while (evbuffer_get_length(input) > 0) {
        const bool hadBegun = m_reader.hasBegun();
        evbuffer_iovec piece {};
        evbuffer_peek(input, -1, nullptr, &piece, 1);
        std::size_t used = 0;
        const auto progress
            = m_reader.read({static_cast<const char *>(piece.iov_base), piece.iov_len}, used);
        evbuffer_drain(input, used);
        if (!hadBegun && m_reader.hasBegun()) {
            m_timer.startOnce(m_limits.requestTimeout);
        }
        switch (progress) {
        case HttpReader::Progress::Unfinished:
            break;
        case HttpReader::Progress::Malformed:
            refuse(badRequest, "malformed request");
            return;
        case HttpReader::Progress::HeadTooLong:
            refuse(headersTooLarge, "request line and header fields too long");
            return;
        case HttpReader::Progress::BodyTooLong:
            refuse(contentTooLarge, "request body too long");
            return;
        case HttpReader::Progress::Finished: {
            m_timer.stop();
            m_isServing = true;
            m_sentContinue = false;
            bufferevent_setwatermark(m_stream, EV_READ, 0, readAheadBytes);
            Arrival arrival {m_reader.takeRequest(), std::chrono::steady_clock::now(), m_isFirst};
            m_isFirst = false;
            m_method = arrival.request.method;
            m_closesAfterReply = m_closesAfterReply || !arrival.request.keepsConnection;
            m_hooks.onRequest(*this, std::move(arrival));
            return;
        }
        }
    }
    if (m_reader.awaitsContinue() && !m_sentContinue) {
        m_sentContinue = true;
        constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(m_stream, interim.data(), interim.size());
    }
}

void CallerConnection::reply(HttpReplyMessage reply)
{
    reply.keepsConnection = !m_closesAfterReply;
    const std::string bytes = serialize(reply, m_method);
    bufferevent_write(m_stream, bytes.data(), bytes.size());
    m_isServing = false;
    if (m_closesAfterReply) {
        startClosing();
        return;
    }
    bufferevent_setwatermark(m_stream, EV_READ, 0, 0);
    startIdleTimer();
    readNextRequest();
}

void CallerConnection::startClosing()
{
    m_isClosing = true;
    m_timer.startOnce(lingerTimeout);
    if (!hasUnwrittenOutput()) {
        onWritten();
    }
}

void CallerConnection::onWritten()
{
    // Closing the socket while received bytes are unread would reset the connection, and the caller
    // could lose the reply. So only the write side is shut down here.
    if (m_isClosing) {
        m_timer.startOnce(lingerTimeout);
        shutdown(bufferevent_getfd(m_stream), SHUT_WR);
    }
}

void CallerConnection::refuse(int status, const char *reason)
{
    m_hooks.onRefused(status, reason);
    m_closesAfterReply = true;
    m_method.clear();
    HttpReplyMessage refusal;
    refusal.status = status;
    reply(std::move(refusal));
}

void CallerConnection::abort()
{
    m_isServing = false;
    m_isClosing = true;
    m_hooks.onClosed(*this);
}

bool CallerConnection::hasUnwrittenOutput() const
{
    return evbuffer_get_length(bufferevent_get_output(m_stream)) > 0;
}

bool CallerConnection::hasUnreadInput() const
{
    char byte = 0;
    return evbuffer_get_length(bufferevent_get_input(m_stream)) > 0
        || recv(bufferevent_getfd(m_stream), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool CallerConnection::isUnanswered() const
{
    const bool hasRequest = m_isServing || m_reader.hasBegun() || hasUnreadInput();
    return hasUnwrittenOutput() || (!m_isClosing && hasRequest);
}

void CallerConnection::closeIfIdle()
{
    if (!m_isClosing && !isUnanswered()) {
        abort();
    }
}

void CallerConnection::onDisconnected()
{
    if (m_isServing) {
        m_isServing = false;
        m_hooks.onCallerGone(*this);
    }
    m_hooks.onClosed(*this);
}

void CallerConnection::onTimeout()
{
    if (!m_isClosing && m_reader.hasBegun()) {
        refuse(requestTimeoutStatus, "request took too long to arrive");
        return;
    }
    if (hasUnwrittenOutput()) {
        // The reply is on its way. How long the caller may pause is limited by the write timeout.
        m_timer.startOnce(m_isClosing ? Duration(lingerTimeout) : m_limits.idleTimeout);
        return;
    }
    m_hooks.onClosed(*this);
}

} // namespace pimentoward
