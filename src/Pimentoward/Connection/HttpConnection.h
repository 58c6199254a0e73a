#pragma once

#include "Pimentoward/Connection/HttpAnswer.h"
#include "Pimentoward/Connection/HttpCall.h"
#include "Pimentoward/Core/Address.h"

#include <functional>
#include <memory>
#include <optional>

struct event_base;

namespace pimentoward {

/// A client connection with at most one call in flight. It reconnects automatically for the next
/// call, and it never sends a call twice.
class HttpConnection
{
public:
    /// Receives the answer, or nothing and a reason with the code DeadlineExceeded,
    /// PeerUnreachable (no byte has left this process) or MayHaveRun (bytes may have been sent).
    using DoneHook = std::function<void(std::optional<HttpAnswer>, const Reason &)>;

    HttpConnection(event_base *loop, const Address &address);
    /// Cancels a running call without running its hook.
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends one call. The connection must not be busy. The hook runs from the event loop, never
    /// inside this function.
    void send(const HttpCall &call, DoneHook done);
    /// Sets the hook that runs each time the server closes the connection while no call is running.
    void setIdleClosedHook(std::function<void()> hook);
    bool isBusy() const;
    /// True while the TCP connection is established and has no unexpected input.
    bool isConnected() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace pimentoward
