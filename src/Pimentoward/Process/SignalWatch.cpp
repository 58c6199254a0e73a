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
    // A write to a connection that has been reset is an error of that connection, not the end of
    // the process.
    std::signal(SIGPIPE, SIG_IGN);
    for (const int signal : signals) {
        event *watch = evsignal_new(loop, signal, onSignal, this);
        event_add(watch, nullptr);
        m_events.push_back(watch);
    }
}

SignalWatch::~SignalWatch()
{
    for (event *watch : m_events) {
        event_free(watch);
    }
}

} // namespace pimentoward
