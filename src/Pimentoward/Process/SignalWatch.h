#pragma once

#include <functional>
#include <vector>

struct event;
struct event_base;

namespace pimentoward {

/// Runs a hook on an event loop when the process receives one of the given signals. Also makes the
/// process ignore SIGPIPE.
class SignalWatch
{
public:
    using Hook = std::function<void(int signal)>;

    SignalWatch(event_base *loop, const std::vector<int> &signals, Hook hook);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    Hook m_hook;
    std::vector<event *> m_events;
};

} // namespace pimentoward
