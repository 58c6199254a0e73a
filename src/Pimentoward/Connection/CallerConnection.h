#pragma once

#include "Pimentoward/Connection/CallerServerSettings.h"
#include "Pimentoward/Connection/HttpReader.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Process/Timer.h"

#include <cstdint>
#include <functional>
#include <optional>

struct bufferevent;
struct event_base;

namespace pimentoward {

/// One connection of a caller: hands on its requests one after the other and writes the replies in
/// that order. Learns when the caller leaves.
class CallerConnection
{
public:
    /// A whole request, and what its connection tells of it.
    struct Arrival
    {
        HttpRequestMessage request;
        /// When its last byte was read.
        SteadyTime readAt {};
        /// True for the first request of a connection, which its caller had to open before.
        bool isFirst = false;
    };
    struct Hooks
    {
        std::function<void(CallerConnection &, Arrival)> onRequest;
        /// The caller has left while its request ran; the reply is no longer wanted.
        std::function<void(CallerConnection &)> onCallerGone;
        /// A refusal by the reader itself: status of the reply and why.
        std::function<void(int status, const char *why)> onRefused;
        /// The connection has ended; the owner may destroy it once the hook has returned.
        std::function<void(CallerConnection &)> onClosed;
    };

    CallerConnection(event_base *loop, int socket, const CallerLimits &limits, const Hooks &hooks);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Replies to the request that onRequest handed on last; once for each.
    void reply(HttpReplyMessage reply);
    /// Ends the connection without a reply.
    void abort();
    /// The next reply is the connection's last, and tells the caller so.
    void closeAfterReply() { m_closesAfterReply = true; }
    /// Ends the connection where no request runs or arrives on it.
    void closeIfIdle();
    bool isServing() const { return m_isServing; }

private:
    void onReadable();
    void onEnded();
    void onWritten();
    void onTimeout();
    void refuse(int status, const char *why);
    void serveNext();
    void startIdleTimer();
    void finishClosing();

    bufferevent *m_stream = nullptr;
    CallerLimits m_limits;
    const Hooks &m_hooks;
    HttpReader m_reader;
    Timer m_timer;
    std::string m_method;
    bool m_isServing = false;
    bool m_isFirst = true;
    bool m_closesAfterReply = false;
    bool m_isClosing = false;
    bool m_saidContinue = false;
};

} // namespace pimentoward
