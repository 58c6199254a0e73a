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
constexpr int statusUnavailable = 503;
/// Maximum bytes of further requests that are buffered while one is being served.
constexpr std::size_t readAheadBytes = 65'536;
/// While more bytes than this of a reply are not written yet, no further request is read.
constexpr std::size_t maxUnwrittenBytes = 65'536;
/// Copies of a body while its request runs: the request's own, and the one on its way to a backend
/// server.
constexpr std::size_t runningCopies = 2;
/// Seconds after which a request that gave way to others may be sent again.
constexpr const char *giveWayRetryAfter = "1";
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

CallerConnection::CallerConnection(event_base *loop, int socket, CallerBudget::ConnectionId id,
                                   const CallerLimits &limits, const Hooks &hooks)
    : m_id(id)
    , m_limits(limits)
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
    // bufferevent_free() closes the socket only when the loop runs again; until then, a crowd of
    // new connections could use up the descriptors.
    const evutil_socket_t socket = bufferevent_getfd(m_stream);
    bufferevent_setfd(m_stream, -1);
    evutil_closesocket(socket);
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
    if (!m_isServing && !m_awaitsWritten) {
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
        m_receivedBytes += used;
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
        case HttpReader::Progress::Finished:
            passOn();
            return;
        }
    }
    if (m_reader.awaitsContinue() && !m_sentContinue) {
        m_sentContinue = true;
        constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        m_writtenBytes += interim.size();
        bufferevent_write(m_stream, interim.data(), interim.size());
    }
    reportUsage();
}

void CallerConnection::passOn()
{
    // Charged before the request runs, so that it can still give way.
    m_runningBytes = m_reader.heldBytes() * (runningCopies - 1);
    reportUsage();
    if (m_isClosing) {
        return;
    }
    m_timer.stop();
    m_isServing = true;
    m_sentContinue = false;
    m_runningBytes = m_reader.heldBytes() * runningCopies;
    bufferevent_setwatermark(m_stream, EV_READ, 0, readAheadBytes);
    Arrival arrival {m_reader.takeRequest(), std::chrono::steady_clock::now(), m_isFirst};
    m_isFirst = false;
    m_method = arrival.request.method;
    m_closesAfterReply = m_closesAfterReply || !arrival.request.keepsConnection;
    m_hooks.onRequest(*this, std::move(arrival));
}

void CallerConnection::reply(HttpReplyMessage reply)
{
    reply.keepsConnection = !m_closesAfterReply;
    const std::string bytes = serialize(reply, m_method);
    bufferevent_write(m_stream, bytes.data(), bytes.size());
    m_writtenBytes += bytes.size();
    m_isServing = false;
    m_runningBytes = 0;
    if (m_closesAfterReply) {
        startClosing();
        reportUsage();
        return;
    }
    startIdleTimer();
    m_awaitsWritten = evbuffer_get_length(bufferevent_get_output(m_stream)) > maxUnwrittenBytes;
    reportUsage();
    if (!m_awaitsWritten) {
        resumeReading();
    }
}

void CallerConnection::resumeReading()
{
    m_awaitsWritten = false;
    bufferevent_setwatermark(m_stream, EV_READ, 0, 0);
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
    } else if (m_awaitsWritten) {
        resumeReading();
        return;
    }
    reportUsage();
}

void CallerConnection::refuse(int status, const char *reason)
{
    m_hooks.onRefused(status, reason);
    HttpReplyMessage refusal;
    refusal.status = status;
    sendRefusal(std::move(refusal));
}

void CallerConnection::sendRefusal(HttpReplyMessage refusal)
{
    m_closesAfterReply = true;
    m_method.clear();
    m_reader.discard();
    reply(std::move(refusal));
}

void CallerConnection::giveWay()
{
    if (stage() != CallerUsage::Stage::Receiving) {
        abort();
        return;
    }
    HttpReplyMessage refusal;
    refusal.status = statusUnavailable;
    refusal.headers.add("Retry-After", giveWayRetryAfter);
    sendRefusal(std::move(refusal));
}

CallerUsage::Stage CallerConnection::stage() const
{
    if (m_isServing) {
        return CallerUsage::Stage::Running;
    }
    if (!m_isClosing && m_reader.hasBegun()) {
        return CallerUsage::Stage::Receiving;
    }
    if (hasUnwrittenOutput()) {
        return CallerUsage::Stage::Replying;
    }
    if (m_isClosing) {
        return CallerUsage::Stage::Closing;
    }
    return m_isFirst ? CallerUsage::Stage::Silent : CallerUsage::Stage::Idle;
}

CallerUsage CallerConnection::usage() const
{
    const std::size_t input = evbuffer_get_length(bufferevent_get_input(m_stream));
    const std::size_t output = evbuffer_get_length(bufferevent_get_output(m_stream));
    CallerUsage usage;
    usage.stage = stage();
    usage.bytes
        = CallerBudget::connectionBytes + m_reader.heldBytes() + m_runningBytes + input + output;
    usage.progress = m_receivedBytes + m_writtenBytes - output;
    return usage;
}

void CallerConnection::reportUsage()
{
    if (m_hooks.onUsageChanged) {
        m_hooks.onUsageChanged(*this);
    }
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
