#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/RelayQueue.h"

#include <functional>

struct bufferevent;
struct event_base;

namespace pimentoward::standins {

/// Which directions of a relayed link pass bytes.
enum class RelayMode {
    Up,
    /// No bytes arrive on either side until the link is healed.
    Cut,
    /// No bytes arrive at the target; the bytes that it sends still arrive at the caller.
    CutToTarget,
    /// No bytes arrive at the caller; the bytes that it sends still arrive at the target.
    CutToCaller,
    /// Nothing is read from either side, so that the send buffers of both sides fill.
    Frozen
};

/// One relayed TCP connection. When one side closes it, the remaining bytes of that side are
/// delivered, and then both sides are closed. Half-closed connections are not supported.
class RelayConnection
{
public:
    /// Runs on the event loop when the connection has ended. It may destroy the connection.
    using EndHook = std::function<void()>;

    /// Takes ownership of the accepted socket and connects to the target.
    RelayConnection(event_base *loop, int acceptedSocket, const Address &target,
                    const RelayLinkSettings &settings, RelayMode mode, std::uint32_t seed,
                    EndHook onEnd);
    ~RelayConnection();
    RelayConnection(const RelayConnection &) = delete;
    RelayConnection &operator=(const RelayConnection &) = delete;

    /// Changes which directions pass bytes.
    void changeMode(RelayMode mode);
    /// Applies new delays and loss to the bytes that are read from now on.
    void updateSettings(const RelayLinkSettings &settings);

private:
    /// One direction of the connection: bytes that are read from `from` are written to `to`.
    struct Direction
    {
        Direction(event_base *loop, RelayConnection &owner, const RelayLinkSettings &settings,
                  std::uint32_t seed)
            : queue(settings, seed)
            , timer(loop, [this, &owner] { owner.deliver(*this); })
        { }

        bufferevent *from = nullptr;
        bufferevent *to = nullptr;
        RelayQueue queue;
        Timer timer;
        /// True once `from` has closed the connection or failed.
        bool hasEnded = false;
    };

    static void onRead(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short events, void *self);
    Direction &directionFrom(bufferevent *stream);
    void readFrom(Direction &direction);
    /// Writes the bytes that are due and ends the connection after the last bytes.
    void deliver(Direction &direction);
    /// Starts the timer for the next bytes that are due.
    void scheduleDelivery(Direction &direction);
    /// Stops reading while the link is frozen or the queue is full, and resumes it afterwards.
    void updateReading(Direction &direction);

    SystemClock m_clock;
    RelayMode m_mode = RelayMode::Up;
    EndHook m_onEnd;
    Direction m_toTarget;
    Direction m_toCaller;
    Timer m_endTimer;
};

} // namespace pimentoward::standins
