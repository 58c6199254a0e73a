#pragma once

#include "Pimentoward/Core/Types.h"

#include <functional>

struct event;
struct event_base;

namespace pimentoward {

/// A one-shot or repeating timer on a task's loop. Destroying it cancels it.
class Timer
{
public:
    Timer(event_base *loop, std::function<void()> hook);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Runs the hook once, after `delay`; a pending run is replaced.
    void startOnce(Duration delay);
    /// Runs the hook every `period`.
    void startRepeating(Duration period);
    /// Cancels a pending run.
    void stop();
    /// True while a run is to come.
    bool isPending() const;

private:
    void arm();

    std::function<void()> m_hook;
    event *m_event;
    Duration m_delay {};
    bool m_repeating = false;
};

} // namespace pimentoward
