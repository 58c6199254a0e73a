#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace pimentoward {

/// One WebSocket link over a libevent stream.
class PeerLink
{
public:
    struct Hooks
    {
        /// The handshake is done; messages may be sent.
        std::function<void()> onOpen;
        std::function<void(const std::string &)> onMessage;
        /// The dialling side has named itself; only on accepted links.
        std::function<void(const std::string &name)> onName;
        /// The link has ended, for whatever reason. Runs once; the link may be destroyed after the
        /// loop's current turn, not inside the hook.
        std::function<void()> onClosed;
    };

    /// Takes an accepted stream over.
    static std::unique_ptr<PeerLink> accept(bufferevent *stream, Hooks hooks);
    /// Takes a connecting stream over; `name` tells the other side who dials.
    static std::unique_ptr<PeerLink> dial(bufferevent *stream, std::string name, Hooks hooks);

    virtual ~PeerLink() = default;
    /// Sends one binary message; false where the link is not open.
    virtual bool send(const std::string &message) = 0;
    virtual bool isOpen() const = 0;
    virtual std::uint64_t bytesSent() const = 0;
    virtual std::uint64_t bytesReceived() const = 0;
};

} // namespace pimentoward
