#pragma once

#include "Pimentoward/Connection/CallerBudget.h"
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

/// One connection from a caller. Passes on its requests one at a time, writes each reply before it
/// passes on the next request, and detects when the caller disconnects.
class CallerConnection
{
public:
    /// A complete request and how it arrived.
    struct Arrival
    {
        HttpRequestMessage request;
        /// When the last byte of the request was read.
        SteadyTime readAt {};
        /// True for the first request of a connection: its caller had to open the connection first.
        bool isFirst = false;
    };
    struct Hooks
    {
        std::function<void(CallerConnection &, Arrival)> onRequest;
        /// The caller has disconnected while its request was running. The reply is no longer
        /// needed.
        std::function<void(CallerConnection &)> onCallerGone;
        /// The request could not be read and was refused with `status` because of `reason`.
        std::function<void(int status, const char *reason)> onRefused;
        /// What the connection holds may have changed. The hook may let this connection give way.
        /// Not set if the callers' memory has no limit.
        std::function<void(CallerConnection &)> onUsageChanged;
        /// The connection has ended. It may be destroyed inside this hook.
        std::function<void(CallerConnection &)> onClosed;
    };

    /// Takes ownership of the accepted `socket`. `hooks` must outlive the connection.
    CallerConnection(event_base *loop, int socket, CallerBudget::ConnectionId id,
                     const CallerLimits &limits, const Hooks &hooks);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    CallerBudget::ConnectionId id() const { return m_id; }
    /// What the connection holds at present.
    CallerUsage usage() const;
    /// Refuses the request that is arriving, with a status that promises that it never runs, or
    /// closes the connection if no request is arriving. Must not be called while a request runs.
    void giveWay();
    /// Replies to the request last passed to onRequest. Must be called once for each request.
    void reply(HttpReplyMessage reply);
    /// Closes the connection without a reply.
    void abort();
    /// Closes the connection after the next reply, which carries "Connection: close".
    void closeAfterReply() { m_closesAfterReply = true; }
    /// Closes the connection unless isUnanswered() is true.
    void closeIfIdle();
    /// True while a request that was passed on has no reply yet.
    bool isServing() const { return m_isServing; }
    /// True while a request is running, being received or waiting to be read, or while a reply has
    /// not been written completely.
    bool isUnanswered() const;

private:
    /// True if a part of a reply is not with the kernel yet, because the caller reads slowly.
    bool hasUnwrittenOutput() const;
    /// True if bytes from the caller have arrived that were not read yet.
    bool hasUnreadInput() const;
    void onReadable();
    void onDisconnected();
    void onWritten();
    void onTimeout();
    void refuse(int status, const char *reason);
    void sendRefusal(HttpReplyMessage refusal);
    CallerUsage::Stage stage() const;
    /// Passes on the request that the reader has finished.
    void passOn();
    void reportUsage();
    void resumeReading();
    void readNextRequest();
    void startIdleTimer();
    void startClosing();

    CallerBudget::ConnectionId m_id;
    bufferevent *m_stream = nullptr;
    CallerLimits m_limits;
    const Hooks &m_hooks;
    HttpReader m_reader;
    Timer m_timer;
    std::string m_method;
    /// Memory of the request that runs, in bytes.
    std::size_t m_runningBytes = 0;
    /// Bytes received from the caller, and bytes written for it.
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_writtenBytes = 0;
    bool m_isServing = false;
    /// True while the next request waits until the caller has taken the reply before it.
    bool m_awaitsWritten = false;
    bool m_isFirst = true;
    bool m_closesAfterReply = false;
    bool m_isClosing = false;
    bool m_sentContinue = false;
};

} // namespace pimentoward
