#pragma once

#include "Pimentoward/Connection/HttpReader.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Process/Timer.h"

#include <functional>
#include <optional>
#include <string>

struct event;
struct event_base;

namespace pimentoward {

/// How one exchange with a backend server ended.
enum class ExchangeOutcome {
    /// A whole reply to this request came.
    Replied,
    /// No byte of the request has left this process.
    NotSent,
    /// The connection broke, or bytes came that are no reply: the request may have run.
    Broken
};

/// One connection to a backend server that carries one request at a time. Opens at once.
class BackendConnection
{
public:
    /// What is to be sent.
    struct Exchange
    {
        /// The request as it goes on the wire.
        std::string bytes;
        std::string method;
        /// The reply names it in the header `requestIdHeader`; a reply to another request is
        /// dropped.
        RequestId requestId;
        /// Names a text that outlives the connection; empty where any reply is taken.
        std::string_view requestIdHeader;
    };
    using DoneHook = std::function<void(ExchangeOutcome, HttpReplyMessage)>;
    /// Runs once the connection is of no further use while no exchange runs on it.
    using ClosedHook = std::function<void(BackendConnection &)>;

    BackendConnection(event_base *loop, const Address &address, ClosedHook closed);
    ~BackendConnection();
    BackendConnection(const BackendConnection &) = delete;
    BackendConnection &operator=(const BackendConnection &) = delete;

    /// Sends a request. Must not be busy. `done` runs from the loop, never inside this function.
    void send(const Exchange &exchange, DoneHook done);
    bool isBusy() const { return m_done != nullptr; }
    /// False where no further request may be sent on it.
    bool isReusable() const { return !m_isSpent; }

private:
    void open(const Address &address);
    void onWritable();
    void onConnected();
    void flush();
    void onReadable();
    void onEnded(bool isInOrder);
    void read(std::string_view bytes);
    void onReply(HttpReplyMessage reply, bool hasSurplus);
    void finish(ExchangeOutcome end, HttpReplyMessage reply);
    void onTimer();
    void noteLifetime(const HttpReplyMessage &reply, bool hasSurplus);

    event_base *m_loop;
    int m_socket = -1;
    event *m_readable = nullptr;
    event *m_writable = nullptr;
    HttpReader m_reader;
    Timer m_timer;
    ClosedHook m_closed;
    DoneHook m_done;
    RequestId m_requestId;
    std::string_view m_requestIdHeader;
    /// What has not been written yet. Nothing is before the connection stands: until then it is
    /// certain that nothing was sent.
    std::string m_unsent;
    Duration m_idleLimit;
    bool m_isConnected = false;
    bool m_isSpent = false;
};

} // namespace pimentoward
