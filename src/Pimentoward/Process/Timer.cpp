#include "Pimentoward/Process/Timer.h"

#include <event2/event.h>

#include <algorithm>

namespace pimentoward {

Timer::Timer(event_base *loop, std::function<void()> hook)
    : m_hook(std::move(hook))
{
    const auto onTimeout = [](evutil_socket_t, short, void *self) {
        auto *timer = static_cast<Timer *>(self);
        // The timer is armed again before the hook runs, because the hook may stop or destroy it.
        if (timer->m_isRepeating) {
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
    m_isRepeating = false;
    m_delay = delay;
    arm();
}

void Timer::startRepeating(Duration period)
{
    m_isRepeating = true;
    m_delay = period;
    arm();
}

bool Timer::isPending() const
{
    return evtimer_pending(m_event, nullptr) != 0;
}

void Timer::stop()
{
    m_isRepeating = false;
    event_del(m_event);
}

void Timer::arm()
{
    const auto micros = std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::microseconds>(m_delay).count());
    constexpr std::int64_t microsPerSecond = 1'000'000;
    timeval timeout {};
    timeout.tv_sec = micros / microsPerSecond;
    timeout.tv_usec = micros % microsPerSecond;
    event_add(m_event, &timeout);
}

} // namespace pimentoward
