#include "Pimentoward/Request/RequestPlanner.h"

#include <algorithm>

namespace pimentoward {

RequestPlanner::RequestPlanner(const Settings &settings)
    : m_settings(settings)
    , m_timing(settings.timing)
    , m_latencies(settings.latencies)
{ }

RequestPlan RequestPlanner::plan(const Route &route, const Arrival &arrival)
{
    RequestPlan plan;
    plan.gather = gatherPlan(route, arrival);
    plan.medianTime = m_latencies.medianTime(route);
    const Duration needed = scaled(plan.medianTime, m_settings.mediansNeeded);
    plan.urgency = {arrival.priority.value_or(route.priority), arrival.readAt,
                    plan.gather.answerBy - needed};
    endWithService(plan, route, arrival.readAt, needed);
    return plan;
}

void RequestPlanner::endWithService(RequestPlan &plan, const Route &route, SteadyTime readAt,
                                    Duration needed) const
{
    if (!m_lastAnswerAt || plan.gather.deadline <= *m_lastAnswerAt) {
        return;
    }
    plan.canBeAnswered = readAt + std::max(needed, route.latencyObjective) <= *m_lastAnswerAt;
    plan.gather.endBy(*m_lastAnswerAt);
}

GatherPlan RequestPlanner::gatherPlan(const Route &route, const Arrival &arrival)
{
    GatherPlan plan;
    plan.isFanout = route.isFanout();
    plan.isIdempotent = route.isIdempotent || plan.isFanout;
    if (plan.isFanout) {
        plan.parts = route.shards;
    } else {
        plan.parts = {m_roundRobin.next(route)};
    }
    plan.maxAttempts = route.maxAttempts;
    plan.minCoverage = route.minCoverage;
    plan.topRecords = route.topRecords;
    const AnswerTiming::Deadlines deadlines
        = m_timing.deadlines({arrival.readAt, arrival.timeLeft.value_or(route.timeout),
                              route.timeout, route.latencyObjective, arrival.isFirstOnConnection});
    plan.answerBy = deadlines.answerBy;
    plan.deadline = deadlines.deadline;
    plan.refuseBy = arrival.readAt + scaled(route.latencyObjective, m_settings.refuseShare);
    plan.hedgeDelay = m_latencies.hedgeDelay(route);
    return plan;
}

} // namespace pimentoward
