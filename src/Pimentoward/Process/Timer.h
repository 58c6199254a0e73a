#pragma once

#include "Pimentoward/Core/Types.h"

#include <functional>

struct event;
struct event_base;

namespace pimentoward {

/// A one-shot or repeating timer on an event loop. The destructor cancels it.
class Timer
{
public:
    Timer(event_base *loop, std::function<void()> hook);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Runs the hook once after `delay`. Replaces a pending run.
    void startOnce(Duration delay);
    /// Runs the hook every `period`, first after one period. Replaces a pending run.
    void startRepeating(Duration period);
    /// Cancels a pending run.
    void stop();
    /// True if a run is pending.
    bool isPending() const;

private:
    void arm();

    std::function<void()> m_hook;
    event *m_event;
    Duration m_delay {};
    bool m_isRepeating = false;
};

} // namespace pimentoward
