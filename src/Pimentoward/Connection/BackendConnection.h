#pragma once

#include "Pimentoward/Connection/HttpReader.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/MemoryBudget.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Process/Timer.h"

#include <functional>
#include <optional>
#include <string>

struct event;
struct event_base;

namespace pimentoward {

/// How an exchange with a backend server ended.
enum class ExchangeOutcome {
    /// A complete reply to this request was received.
    Replied,
    /// No byte of the request has left this process.
    NotSent,
    /// The connection broke or delivered bytes that are not a valid reply. The request may have
    /// run.
    Broken
};

/// A connection to a backend server that carries one request at a time. The constructor starts
/// to connect.
class BackendConnection
{
public:
    /// A request to send, and how to recognise its reply.
    struct Exchange
    {
        /// The complete request as sent on the wire.
        std::string bytes;
        std::string method;
        /// ID that the reply is expected to repeat in the header `requestIdHeader`. A reply with
        /// another ID is dropped. A reply without that header ends the exchange as broken, except
        /// for the first request of a connection: later it may be a second copy of an earlier
        /// reply.
        RequestId requestId;
        /// Name of the header with the request ID; empty if every reply is accepted. The text must
        /// outlive the connection.
        std::string_view requestIdHeader;
    };
    using DoneHook = std::function<void(ExchangeOutcome, HttpReplyMessage)>;
    /// Runs when a connection on which no exchange is running can no longer be used.
    using ClosedHook = std::function<void(BackendConnection &)>;

    /// `memory` bounds the bytes of unfinished replies on all connections that share it. It must
    /// outlive the connection; null means no bound.
    BackendConnection(event_base *loop, const Address &address, ClosedHook closed,
                      MemoryBudget *memory = nullptr);
    ~BackendConnection();
    BackendConnection(const BackendConnection &) = delete;
    BackendConnection &operator=(const BackendConnection &) = delete;

    /// Sends a request. The connection must not be busy. `done` runs from the event loop, never
    /// inside this function.
    void send(const Exchange &exchange, DoneHook done);
    bool isBusy() const { return m_done != nullptr; }
    /// False if no further request may be sent on this connection.
    bool isReusable() const { return !m_isRetired; }

private:
    void open(const Address &address);
    void onWritable();
    void onConnected();
    void flush();
    void onReadable();
    void onDisconnected(bool isOrderlyShutdown);
    void read(std::string_view bytes);
    void onReply(HttpReplyMessage reply, bool hasTrailingBytes);
    void finish(ExchangeOutcome outcome, HttpReplyMessage reply);
    void onTimer();
    /// Counts the bytes of the unfinished reply. Returns false if no memory is left for them.
    bool reserveMemory();
    void releaseMemory();
    void updateLifetime(const HttpReplyMessage &reply, bool hasTrailingBytes);

    event_base *m_loop;
    int m_socket = -1;
    event *m_readEvent = nullptr;
    event *m_writeEvent = nullptr;
    HttpReader m_reader;
    Timer m_timer;
    ClosedHook m_closed;
    DoneHook m_done;
    RequestId m_requestId;
    std::string_view m_requestIdHeader;
    /// Bytes of the request that have not been written to the socket yet. Nothing is written until
    /// the connection is established, so a failure before that proves that nothing was sent.
    std::string m_unsent;
    Duration m_idleTimeout;
    MemoryBudget *m_memory;
    /// Bytes of the unfinished reply that are counted in `m_memory`.
    std::size_t m_reservedBytes = 0;
    bool m_isConnected = false;
    /// True after the first exchange on this connection has ended.
    bool m_wasUsed = false;
    /// True once no further request may be sent on this connection.
    bool m_isRetired = false;
};

} // namespace pimentoward
