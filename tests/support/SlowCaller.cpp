#include "tests/support/SlowCaller.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

SlowCaller::SlowCaller(event_base *loop, const pimentoward::Address &vm)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // A small buffer, so that most of a long answer stays with the sender.
    constexpr int receiveBufferBytes = 16'384;
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    m_stream = bufferevent_socket_new(loop, socket, BEV_OPT_CLOSE_ON_FREE);
    const auto onRead = [](bufferevent *stream, void *self) {
        evbuffer *input = bufferevent_get_input(stream);
        static_cast<SlowCaller *>(self)->m_receivedBytes += evbuffer_get_length(input);
        evbuffer_drain(input, evbuffer_get_length(input));
    };
    const auto onEvent = [](bufferevent *, short what, void *self) {
        if ((what & BEV_EVENT_CONNECTED) == 0) {
            static_cast<SlowCaller *>(self)->m_hasEnded = true;
        }
    };
    bufferevent_setcb(m_stream, onRead, nullptr, onEvent, this);
    bufferevent_enable(m_stream, EV_WRITE);
    stopReading();
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(vm.port);
    inet_pton(AF_INET, vm.host.c_str(), &remote.sin_addr);
    bufferevent_socket_connect(m_stream, reinterpret_cast<sockaddr *>(&remote), sizeof(remote));
}

SlowCaller::~SlowCaller()
{
    bufferevent_free(m_stream);
}

void SlowCaller::send(const std::string &bytes)
{
    bufferevent_write(m_stream, bytes.data(), bytes.size());
}

void SlowCaller::startReading()
{
    bufferevent_enable(m_stream, EV_READ);
}

void SlowCaller::stopReading()
{
    bufferevent_disable(m_stream, EV_READ);
}
