#include "tests/support/CallerCrowd.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

#include <algorithm>

CallerCrowd::CallerCrowd(event_base *loop, const pimentoward::Address &vm, std::size_t callers,
                         std::string bytes)
    : m_bytes(std::move(bytes))
{
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(vm.port);
    inet_pton(AF_INET, vm.host.c_str(), &remote.sin_addr);
    const auto onRead = [](bufferevent *stream, void *) {
        evbuffer *input = bufferevent_get_input(stream);
        evbuffer_drain(input, evbuffer_get_length(input));
    };
    const auto onEvent = [](bufferevent *, short what, void *self) {
        if ((what & BEV_EVENT_CONNECTED) == 0) {
            static_cast<Caller *>(self)->hasEnded = true;
        }
    };
    for (std::size_t index = 0; index < callers; ++index) {
        auto caller = std::make_unique<Caller>();
        caller->stream = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(caller->stream, onRead, nullptr, onEvent, caller.get());
        bufferevent_enable(caller->stream, EV_READ | EV_WRITE);
        bufferevent_socket_connect(caller->stream, reinterpret_cast<const sockaddr *>(&remote),
                                   sizeof(remote));
        m_callers.push_back(std::move(caller));
    }
}

CallerCrowd::~CallerCrowd()
{
    for (const auto &caller : m_callers) {
        bufferevent_free(caller->stream);
    }
}

void CallerCrowd::sendNext(std::size_t count)
{
    const std::size_t size = std::min(count, unsentBytes());
    for (const auto &caller : m_callers) {
        if (!caller->hasEnded) {
            // All callers share the bytes, so that the crowd takes little memory.
            evbuffer_add_reference(bufferevent_get_output(caller->stream),
                                   m_bytes.data() + m_offered, size, nullptr, nullptr);
        }
    }
    m_offered += size;
}

bool CallerCrowd::hasSent() const
{
    return std::all_of(m_callers.begin(), m_callers.end(), [](const auto &caller) {
        return caller->hasEnded || evbuffer_get_length(bufferevent_get_output(caller->stream)) == 0;
    });
}
