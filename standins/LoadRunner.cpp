#include "standins/LoadRunner.h"

#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/Timer.h"

#include <event2/event.h>

#include <list>

namespace pimentoward::standins {

namespace {

/// One load from its first send to the end of its last request.
class RunningLoad
{
public:
    RunningLoad(event_base *loop, const std::vector<PlannedRequest> &plan,
                const LoadRunner::SendHook &send)
        : m_loop(loop)
        , m_plan(plan)
        , m_send(send)
        , m_samples(plan.size())
        , m_start(m_clock.now())
        , m_timer(loop, [this] { sendDue(); })
    { }

    std::vector<LoadSample> run(const std::vector<LoadRunner::Step> &steps)
    {
        for (const LoadRunner::Step &step : steps) {
            m_steps.emplace_back(m_loop, step.action).startOnce(step.at);
        }
        if (!m_plan.empty()) {
            m_timer.startOnce(Duration::zero());
            event_base_dispatch(m_loop);
        }
        return std::move(m_samples);
    }

private:
    Duration sinceStart() const { return m_clock.now() - m_start; }

    void sendDue()
    {
        while (m_next < m_plan.size() && m_plan[m_next].at <= sinceStart()) {
            sendNext();
        }
        if (m_next < m_plan.size()) {
            m_timer.startOnce(m_plan[m_next].at - sinceStart());
        }
    }

    void sendNext()
    {
        const std::size_t index = m_next++;
        m_samples[index].intended = m_plan[index].at;
        m_samples[index].sent = sinceStart();
        m_send(m_plan[index], [this, index](const LoadOutcome &outcome) {
            m_samples[index].ended = sinceStart();
            m_samples[index].outcome = outcome;
            if (++m_ended == m_plan.size()) {
                event_base_loopbreak(m_loop);
            }
        });
    }

    SystemClock m_clock;
    event_base *m_loop;
    const std::vector<PlannedRequest> &m_plan;
    const LoadRunner::SendHook &m_send;
    std::vector<LoadSample> m_samples;
    SteadyTime m_start;
    Timer m_timer;
    std::list<Timer> m_steps;
    std::size_t m_next = 0;
    std::size_t m_ended = 0;
};

} // namespace

std::vector<LoadSample> LoadRunner::run(event_base *loop, const std::vector<PlannedRequest> &plan,
                                        const SendHook &send, const std::vector<Step> &steps)
{
    return RunningLoad(loop, plan, send).run(steps);
}

} // namespace pimentoward::standins
