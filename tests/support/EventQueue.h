#pragma once

#include "tests/support/VirtualClock.h"

#include <functional>
#include <map>

namespace pimentoward::tests {

/// Runs events on a virtual clock in the order of their times. Events with equal times run in the
/// order in which they were added.
class EventQueue
{
public:
    VirtualClock &clock() { return m_clock; }
    SteadyTime now() const { return m_clock.now(); }

    /// Runs `event` once `delay` has passed.
    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_clock.now() + delay, std::move(event));
    }

    /// Runs all events up to `limit` and leaves the clock at `limit`.
    void runUntil(SteadyTime limit)
    {
        while (!m_events.empty() && m_events.begin()->first <= limit) {
            auto node = m_events.extract(m_events.begin());
            m_clock.advance(node.key() - m_clock.now());
            node.mapped()();
        }
        m_clock.advance(limit - m_clock.now());
    }

private:
    VirtualClock m_clock;
    std::multimap<SteadyTime, std::function<void()>> m_events;
};

} // namespace pimentoward::tests
