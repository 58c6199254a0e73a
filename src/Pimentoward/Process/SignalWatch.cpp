#include "Pimentoward/Process/SignalWatch.h"

#include <event2/event.h>

#include <csignal>

namespace pimentoward {

SignalWatch::SignalWatch(event_base *loop, const std::vector<int> &signals, Hook hook)
    : m_hook(std::move(hook))
{
    const auto onSignal = [](evutil_socket_t signal, short, void *self) {
        static_cast<SignalWatch *>(self)->m_hook(static_cast<int>(signal));
    };
    // By default, a write to a connection that has been reset ends the process with SIGPIPE. With
    // the signal ignored, only the write fails.
    std::signal(SIGPIPE, SIG_IGN);
    for (const int signal : signals) {
        event *signalEvent = evsignal_new(loop, signal, onSignal, this);
        event_add(signalEvent, nullptr);
        m_events.push_back(signalEvent);
    }
}

SignalWatch::~SignalWatch()
{
    for (event *signalEvent : m_events) {
        event_free(signalEvent);
    }
}

} // namespace pimentoward
