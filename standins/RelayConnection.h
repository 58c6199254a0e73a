#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/RelayQueue.h"

#include <functional>

struct bufferevent;
struct event_base;

namespace pimentoward::standins {

/// Which ways of a relayed link pass bytes at present.
enum class RelayMode {
    Up,
    /// Nothing arrives on either side until it is healed.
    Cut,
    /// Nothing arrives at the target; its bytes still come back.
    CutToTarget,
    /// Nothing arrives at the caller; its bytes still go to the target.
    CutToCaller,
    /// Nothing is read from either side, so that the senders' buffers fill.
    Frozen
};

/// One relayed TCP connection. Once either side ends it, the bytes of that side arrive and then
/// both sides are closed; half-closed connections are not kept.
class RelayConnection
{
public:
    /// Runs on the loop when the connection has ended; it may destroy the connection.
    using EndHook = std::function<void()>;

    /// Takes over the accepted socket and connects to the target.
    RelayConnection(event_base *loop, int acceptedSocket, const Address &target,
                    const RelayLinkSettings &settings, RelayMode mode, std::uint32_t seed,
                    EndHook end);
    ~RelayConnection();
    RelayConnection(const RelayConnection &) = delete;
    RelayConnection &operator=(const RelayConnection &) = delete;

    void changeMode(RelayMode mode);
    void updateSettings(const RelayLinkSettings &settings);

private:
    /// One way: what is read from `from` arrives at `to`.
    struct Way
    {
        Way(event_base *loop, RelayConnection &owner, const RelayLinkSettings &settings,
            std::uint32_t seed)
            : queue(settings, seed)
            , timer(loop, [this, &owner] { owner.deliver(*this); })
        { }

        bufferevent *from = nullptr;
        bufferevent *to = nullptr;
        RelayQueue queue;
        Timer timer;
        bool hasEnded = false;
    };

    static void onRead(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);
    Way &wayFrom(bufferevent *stream);
    void readFrom(Way &way);
    void deliver(Way &way);
    void schedule(Way &way);
    void readMore(Way &way);

    SystemClock m_clock;
    RelayMode m_mode = RelayMode::Up;
    EndHook m_end;
    Way m_toTarget;
    Way m_toCaller;
    Timer m_endTimer;
};

} // namespace pimentoward::standins
