#include "Pimentoward/Process/Timer.h"

#include <event2/event.h>

#include <algorithm>

namespace pimentoward {

Timer::Timer(event_base *loop, std::function<void()> hook)
    : m_hook(std::move(hook))
{
    const auto onTimeout = [](evutil_socket_t, short, void *self) {
        auto *timer = static_cast<Timer *>(self);
        // Armed again first, so that the hook may stop or destroy the timer.
        if (timer->m_repeating) {
            timer->arm();
        }
        timer->m_hook();
    };
    m_event = event_new(loop, -1, 0, onTimeout, this);
}

Timer::~Timer()
{
    event_free(m_event);
}

void Timer::startOnce(Duration delay)
{
    m_repeating = false;
    m_delay = delay;
    arm();
}

void Timer::startRepeating(Duration period)
{
    m_repeating = true;
    m_delay = period;
    arm();
}

bool Timer::isPending() const
{
    return evtimer_pending(m_event, nullptr) != 0;
}

void Timer::stop()
{
    m_repeating = false;
    event_del(m_event);
}

void Timer::arm()
{
    const auto micros = std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::microseconds>(m_delay).count());
    constexpr std::int64_t microsPerSecond = 1'000'000;
    timeval when {};
    when.tv_sec = micros / microsPerSecond;
    when.tv_usec = micros % microsPerSecond;
    event_add(m_event, &when);
}

} // namespace pimentoward
