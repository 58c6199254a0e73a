#include "Pimentoward/Connection/BackendDispatcher.h"

#include <algorithm>

namespace pimentoward {

BackendDispatcher::BackendDispatcher(const Settings &settings)
    : m_settings(settings)
{ }

BackendDispatcher::Actions BackendDispatcher::enqueue(DispatchToken token, RequestClass,
                                                      SteadyTime deadline, SteadyTime now)
{
    if (now >= deadline) {
        return {Refuse {token, {ResultCode::NotRunDeadline, "the deadline has passed"}}};
    }
    if (m_queue.size() >= m_settings.queueLimit) {
        return {Refuse {token, {ResultCode::NotRunOverloaded, "the owner's queue is full"}}};
    }
    m_queue.push_back({token, deadline});
    return fill(now);
}

BackendDispatcher::Actions BackendDispatcher::cancel(DispatchToken token, SteadyTime)
{
    const auto waiting = std::find_if(m_queue.begin(), m_queue.end(),
                                      [token](const Waiting &w) { return w.token == token; });
    if (waiting != m_queue.end()) {
        m_queue.erase(waiting);
        return {Refuse {token, {ResultCode::NotRunCancelled, "cancelled before dispatch"}}};
    }
    if (m_inFlight.count(token) > 0) {
        return {CancelRunning {token}};
    }
    return {};
}

BackendDispatcher::Actions BackendDispatcher::onOutcome(DispatchToken token, const Outcome &,
                                                        SteadyTime now)
{
    m_inFlight.erase(token);
    return fill(now);
}

BackendDispatcher::Actions BackendDispatcher::onTimer(SteadyTime now)
{
    return fill(now);
}

std::optional<SteadyTime> BackendDispatcher::nextTimer() const
{
    if (m_queue.empty()) {
        return std::nullopt;
    }
    const auto first
        = std::min_element(m_queue.begin(), m_queue.end(), [](const Waiting &a, const Waiting &b) {
              return a.deadline < b.deadline;
          });
    return first->deadline;
}

BackendDispatcher::Actions BackendDispatcher::refuseAll(const Reason &reason)
{
    Actions actions;
    for (const Waiting &waiting : m_queue) {
        actions.push_back(Refuse {waiting.token, reason});
    }
    m_queue.clear();
    return actions;
}

LoadReport BackendDispatcher::load() const
{
    LoadReport report;
    report.queueLength = static_cast<std::uint32_t>(m_queue.size());
    report.limit = static_cast<std::uint32_t>(m_settings.slots);
    return report;
}

BackendDispatcher::Actions BackendDispatcher::fill(SteadyTime now)
{
    Actions actions;
    while (!m_queue.empty()) {
        const Waiting next = m_queue.front();
        if (now >= next.deadline) {
            actions.push_back(
                Refuse {next.token, {ResultCode::NotRunDeadline, "it waited too long"}});
            m_queue.pop_front();
            continue;
        }
        if (m_inFlight.size() >= static_cast<std::size_t>(m_settings.slots)) {
            break;
        }
        m_queue.pop_front();
        m_inFlight[next.token] = next.deadline;
        actions.push_back(Dispatch {next.token});
    }
    return actions;
}

} // namespace pimentoward
