#pragma once

#include "Pimentoward/Connection/HttpAnswer.h"
#include "Pimentoward/Connection/HttpCall.h"
#include "Pimentoward/Core/Address.h"

#include <functional>
#include <memory>
#include <optional>

struct event_base;

namespace pimentoward {

/// One client connection with at most one call in flight; it reconnects by itself for the next
/// call and never repeats a call.
class HttpConnection
{
public:
    /// How a call ended: the answer, or nothing and a reason with DeadlineExceeded,
    /// PeerUnreachable (no byte left this process) or MayHaveRun (bytes may have left).
    using DoneHook = std::function<void(std::optional<HttpAnswer>, const Reason &)>;

    HttpConnection(event_base *loop, const Address &address);
    /// Drops a running call without running its hook.
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends one call. Must not be busy. The hook runs on the loop, never inside this function.
    void send(const HttpCall &call, DoneHook done);
    /// Runs `hook` each time that the other side closes the connection while it carries no call.
    void onIdleClosed(std::function<void()> hook);
    bool isBusy() const;
    /// True while the TCP connection stands.
    bool isConnected() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace pimentoward
