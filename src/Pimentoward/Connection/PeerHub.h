#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct event_base;

namespace pimentoward {

/// All links of one task to its peers: it listens for their links and dials one to each of them.
/// Messages to a peer leave on the link dialled to it, or else on one that it has dialled, and are
/// framed by WebSocket.
class PeerHub
{
public:
    /// One whole message of a peer, CBOR-encoded.
    using MessageHook = std::function<void(const std::string &message)>;

    PeerHub(event_base *loop, MemberId self, MessageHook onMessage);
    ~PeerHub();
    PeerHub(const PeerHub &) = delete;
    PeerHub &operator=(const PeerHub &) = delete;

    /// Binds the address that peers dial; false with InvalidSetting in `reason`.
    bool listen(const Address &address, Reason &reason);
    /// Dials new peers, drops links to those that are gone. The process itself is passed over.
    void updatePeers(const std::map<MemberId, Address> &peers);
    /// Sends one message; false where no link stands (nothing has left then).
    bool send(const MemberId &peer, const std::string &message);
    /// True while the link dialled to `peer` is open.
    bool isLinked(const MemberId &peer) const;
    /// Bytes written to and read from all links since the start.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace pimentoward
