#include "tests/support/ScriptedServer.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

using namespace pimentoward;

void ScriptedServer::Peer::write(const std::string &bytes)
{
    bufferevent_write(stream, bytes.data(), bytes.size());
}

void ScriptedServer::Peer::end()
{
    const auto onWritten
        = [](bufferevent *written, void *) { shutdown(bufferevent_getfd(written), SHUT_WR); };
    bufferevent_setcb(stream, nullptr, onWritten, nullptr, nullptr);
    bufferevent_trigger(stream, EV_WRITE, 0);
}

void ScriptedServer::Peer::reset()
{
    const linger resetOnClose {1, 0};
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &resetOnClose,
               sizeof(resetOnClose));
    bufferevent_free(stream);
    stream = nullptr;
}

ScriptedServer::ScriptedServer(event_base *loop, Script script)
    : m_loop(loop)
    , m_script(std::move(script))
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int,
                             void *self) { static_cast<ScriptedServer *>(self)->accept(socket); };
    m_listener = evconnlistener_new_bind(loop, onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                         reinterpret_cast<sockaddr *>(&local), sizeof(local));
    socklen_t size = sizeof(local);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&local), &size);
    m_port = ntohs(local.sin_port);
}

ScriptedServer::~ScriptedServer()
{
    for (const auto &peer : m_peers) {
        if (peer->stream != nullptr) {
            bufferevent_free(peer->stream);
        }
    }
    evconnlistener_free(m_listener);
}

std::size_t ScriptedServer::receivedBytes() const
{
    std::size_t bytes = 0;
    for (const auto &peer : m_peers) {
        bytes += peer->received.size();
    }
    return bytes;
}

void ScriptedServer::accept(int socket)
{
    auto peer = std::make_unique<Peer>();
    peer->server = this;
    peer->stream = bufferevent_socket_new(m_loop, socket, BEV_OPT_CLOSE_ON_FREE);
    const auto onRead = [](bufferevent *stream, void *raw) {
        auto *self = static_cast<Peer *>(raw);
        evbuffer *input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        self->received += bytes;
        self->server->m_script(*self);
    };
    bufferevent_setcb(peer->stream, onRead, nullptr, nullptr, peer.get());
    bufferevent_enable(peer->stream, EV_READ | EV_WRITE);
    m_peers.push_back(std::move(peer));
}

void runLoop(event_base *loop, std::chrono::milliseconds limit, const std::function<bool()> &isDone)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    constexpr timeval step {0, 5000};
    while (std::chrono::steady_clock::now() < end && !(isDone && isDone())) {
        event_base_loopexit(loop, &step);
        event_base_dispatch(loop);
    }
}
