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
        /// The handshake is complete; messages can be sent.
        std::function<void()> onOpen;
        std::function<void(const std::string &)> onMessage;
        /// The dialling side has sent its name. Called only for accepted links.
        std::function<void(const std::string &name)> onPeerName;
        /// The link has ended, for any reason. Called once. The link must not be destroyed inside
        /// the hook, only after the current iteration of the event loop.
        std::function<void()> onClosed;
    };

    /// Creates a link on an accepted stream and takes ownership of the stream.
    static std::unique_ptr<PeerLink> accept(bufferevent *stream, Hooks hooks);
    /// Creates a link on a connecting stream and takes ownership of the stream. `name` identifies
    /// this process to the other side.
    static std::unique_ptr<PeerLink> dial(bufferevent *stream, std::string name, Hooks hooks);

    virtual ~PeerLink() = default;
    /// Sends one binary message. Returns false if the link is not open.
    virtual bool send(const std::string &message) = 0;
    virtual bool isOpen() const = 0;
    virtual std::uint64_t bytesSent() const = 0;
    virtual std::uint64_t bytesReceived() const = 0;
};

} // namespace pimentoward
