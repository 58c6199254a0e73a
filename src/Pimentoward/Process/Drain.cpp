#include "Pimentoward/Process/Drain.h"

namespace pimentoward {

Drain::Drain(const Settings &settings)
    : m_settings(settings)
{ }

void Drain::changeSettings(const Settings &settings)
{
    if (m_phase == Phase::Serving) {
        m_settings = settings;
    }
}

Drain::Actions Drain::onStopSignal(SteadyTime now)
{
    if (m_phase != Phase::Serving) {
        return {};
    }
    m_phase = Phase::NotReady;
    m_startedAt = now;
    return {TurnReadinessOff {lastAnswerAt()}};
}

Drain::Actions Drain::onInterrupt(SteadyTime now)
{
    if (m_phase == Phase::Serving) {
        return onStopSignal(now);
    }
    return m_phase == Phase::Exited ? Actions() : exit("interrupt");
}

void Drain::onOwnershipReleased(SteadyTime now)
{
    m_releasedAt = now;
    // Earlier counts may lack work that arrived before the handover was complete.
    m_running.reset();
}

void Drain::onRunningCount(std::size_t running)
{
    if (m_phase == Phase::Leaving && m_releasedAt) {
        m_running = running;
    }
}

void Drain::onStoppedAccepting()
{
    m_isAccepting = false;
    m_running.reset();
}

Drain::Actions Drain::tick(SteadyTime now)
{
    if (m_phase == Phase::Serving || m_phase == Phase::Exited) {
        return {};
    }
    if (now - m_startedAt >= m_settings.limit) {
        return exit("time limit");
    }
    if (m_phase == Phase::NotReady && now - m_startedAt >= m_settings.readinessDelay) {
        m_phase = Phase::Leaving;
        return {Leave {}};
    }
    const bool isIdle = !m_settings.waitsForRunningWork || m_running == std::size_t {0};
    const bool isSettleTimeOver = m_releasedAt && now - *m_releasedAt >= m_settings.settleTime;
    const bool canExit = m_phase == Phase::Leaving && isSettleTimeOver && isIdle;
    if (m_settings.stopsAcceptingFirst && m_isAccepting && (canExit || now >= lastAnswerAt())) {
        // Earlier counts may lack requests that have been accepted since.
        m_running.reset();
        return {StopAccepting {}};
    }
    return canExit ? exit("no request is running") : Actions();
}

Drain::Actions Drain::exit(const char *reason)
{
    m_phase = Phase::Exited;
    return {Exit {m_running.value_or(0), reason}};
}

} // namespace pimentoward
