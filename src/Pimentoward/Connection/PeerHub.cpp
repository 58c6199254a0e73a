#include "Pimentoward/Connection/PeerHub.h"

#include "Pimentoward/Connection/PeerLink.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/Timer.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <list>

namespace pimentoward {

namespace {

/// How often closed links are removed and peers without a link are dialled again.
constexpr std::chrono::milliseconds maintenancePeriod {200};

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

void disableNagle(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

struct PeerHub::State
{
    struct Outgoing
    {
        Address address;
        std::unique_ptr<PeerLink> link;
        bool closed = false;
    };

    struct Incoming
    {
        std::unique_ptr<PeerLink> link;
        /// The peer that dialled this link; empty until it has sent its name.
        MemberId peer;
        bool closed = false;
    };

    event_base *loop = nullptr;
    MemberId self;
    MessageHook onMessage;
    evconnlistener *listener = nullptr;
    std::map<MemberId, Outgoing> outgoing;
    std::list<Incoming> incoming;
    std::unique_ptr<Timer> maintenanceTimer;
    std::uint64_t closedBytesSent = 0;
    std::uint64_t closedBytesReceived = 0;
    log4cplus::Logger log = Log::part("peer");

    void accept(evutil_socket_t socket)
    {
        disableNagle(socket);
        bufferevent *stream = bufferevent_socket_new(loop, socket, BEV_OPT_CLOSE_ON_FREE);
        Incoming &entry = incoming.emplace_back();
        entry.link
            = PeerLink::accept(stream,
                               {[] {}, [this](const std::string &message) { onMessage(message); },
                                [&entry](const std::string &name) { entry.peer = name; },
                                [&entry] { entry.closed = true; }});
    }

    void dial(const MemberId &peer, Outgoing &entry)
    {
        bufferevent *stream = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE);
        entry.closed = false;
        entry.link
            = PeerLink::dial(stream, self,
                             {[this, peer] { LOG4CPLUS_INFO(log, "Connected to peer " << peer); },
                              [this](const std::string &message) { onMessage(message); },
                              [](const std::string &) {}, [&entry] { entry.closed = true; }});
        const sockaddr_in target = socketAddress(entry.address);
        bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr *>(&target),
                                   sizeof(target));
        if (const evutil_socket_t socket = bufferevent_getfd(stream); socket >= 0) {
            disableNagle(socket);
        }
    }

    void countClosed(const PeerLink &link)
    {
        closedBytesSent += link.bytesSent();
        closedBytesReceived += link.bytesReceived();
    }

    /// Removes closed links and dials again. This runs from a timer, because a link must not be
    /// destroyed inside its own hooks.
    void maintain()
    {
        for (auto entry = incoming.begin(); entry != incoming.end();) {
            if (entry->closed) {
                countClosed(*entry->link);
                entry = incoming.erase(entry);
            } else {
                ++entry;
            }
        }
        for (auto &[peer, entry] : outgoing) {
            if (entry.link == nullptr || entry.closed) {
                if (entry.link != nullptr) {
                    countClosed(*entry.link);
                }
                dial(peer, entry);
            }
        }
    }
};

PeerHub::PeerHub(event_base *loop, MemberId self, MessageHook onMessage)
    : m_state(std::make_shared<State>())
{
    m_state->loop = loop;
    m_state->self = std::move(self);
    m_state->onMessage = std::move(onMessage);
    m_state->maintenanceTimer
        = std::make_unique<Timer>(loop, [state = m_state.get()] { state->maintain(); });
    m_state->maintenanceTimer->startRepeating(maintenancePeriod);
}

PeerHub::~PeerHub()
{
    if (m_state->listener != nullptr) {
        evconnlistener_free(m_state->listener);
    }
}

bool PeerHub::listen(const Address &address, Reason &reason)
{
    const sockaddr_in local = socketAddress(address);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int,
                             void *state) { static_cast<State *>(state)->accept(socket); };
    constexpr int defaultBacklog = -1;
    m_state->listener = evconnlistener_new_bind(
        m_state->loop, onAccept, m_state.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        defaultBacklog, reinterpret_cast<const sockaddr *>(&local), sizeof(local));
    if (m_state->listener == nullptr) {
        reason = {ResultCode::InvalidSetting,
                  "cannot listen on " + address.toString()
                      + "; the address may be in use or may not belong to this machine"};
        return false;
    }
    return true;
}

void PeerHub::updatePeers(const std::map<MemberId, Address> &peers)
{
    auto &outgoing = m_state->outgoing;
    for (auto entry = outgoing.begin(); entry != outgoing.end();) {
        const auto updated = peers.find(entry->first);
        if (updated == peers.end() || updated->second != entry->second.address) {
            m_state->countClosed(*entry->second.link);
            entry = outgoing.erase(entry);
        } else {
            ++entry;
        }
    }
    for (const auto &[peer, address] : peers) {
        if (peer == m_state->self || outgoing.count(peer) > 0) {
            continue;
        }
        State::Outgoing &entry = outgoing[peer];
        entry.address = address;
        m_state->dial(peer, entry);
    }
}

bool PeerHub::send(const MemberId &peer, const std::string &message)
{
    const auto found = m_state->outgoing.find(peer);
    if (found != m_state->outgoing.end() && found->second.link->send(message)) {
        return true;
    }
    // If this process has no open link to the peer, the peer may have dialled one.
    for (const State::Incoming &entry : m_state->incoming) {
        if (entry.peer == peer && entry.link->send(message)) {
            return true;
        }
    }
    return false;
}

bool PeerHub::isLinked(const MemberId &peer) const
{
    const auto found = m_state->outgoing.find(peer);
    return found != m_state->outgoing.end() && found->second.link->isOpen();
}

std::uint64_t PeerHub::bytesSent() const
{
    std::uint64_t total = m_state->closedBytesSent;
    for (const auto &[peer, entry] : m_state->outgoing) {
        total += entry.link->bytesSent();
    }
    for (const auto &entry : m_state->incoming) {
        total += entry.link->bytesSent();
    }
    return total;
}

std::uint64_t PeerHub::bytesReceived() const
{
    std::uint64_t total = m_state->closedBytesReceived;
    for (const auto &[peer, entry] : m_state->outgoing) {
        total += entry.link->bytesReceived();
    }
    for (const auto &entry : m_state->incoming) {
        total += entry.link->bytesReceived();
    }
    return total;
}

} // namespace pimentoward
