#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct event_base;

namespace pimentoward {

/// All links between one task and its peers. It accepts links from the peers and dials one link to
/// each of them. Messages are sent as WebSocket messages, on the link dialled to the peer if it is
/// open, or else on a link that the peer has dialled.
class PeerHub
{
public:
    /// Receives one complete, CBOR-encoded message of a peer.
    using MessageHook = std::function<void(const std::string &message)>;

    PeerHub(event_base *loop, MemberId self, MessageHook onMessage);
    ~PeerHub();
    PeerHub(const PeerHub &) = delete;
    PeerHub &operator=(const PeerHub &) = delete;

    /// Listens on the address that peers dial. On failure returns false and sets `reason` to
    /// InvalidSetting.
    bool listen(const Address &address, Reason &reason);
    /// Dials new peers and drops the links to those that are gone. An entry for this process itself
    /// is ignored.
    void updatePeers(const std::map<MemberId, Address> &peers);
    /// Sends one message. Returns false if no link to the peer is open; in that case nothing has
    /// been sent.
    bool send(const MemberId &peer, const std::string &message);
    /// Returns true while the link dialled to `peer` is open.
    bool isLinked(const MemberId &peer) const;
    /// Bytes written to and read from all links since the start of this process.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace pimentoward
