#include "Pimentoward/Rollout/RolloutJudge.h"

namespace pimentoward {

namespace {

bool isSame(const std::optional<RolloutStatus> &a, const std::optional<RolloutStatus> &b)
{
    if (!a || !b) {
        return a.has_value() == b.has_value();
    }
    return a->targetVersion == b->targetVersion && a->state == b->state
        && a->isShifting == b->isShifting;
}

} // namespace

RolloutJudge::RolloutJudge(const Settings &settings)
    : m_settings(settings)
    , m_evidence(settings.evidence)
{ }

std::optional<RolloutStatus> RolloutJudge::decide(const ServiceName &service,
                                                  const Rollout &rollout, std::size_t rank,
                                                  bool hasTarget, SteadyTime now)
{
    if (!rollout.isOpen()) {
        m_progress.erase(service);
        return std::nullopt;
    }
    Progress &progress = m_progress[service];
    const RolloutStatus *current = rollout.currentStatus();
    if (current == nullptr || !current->isShifting) {
        progress.shiftingSince.reset();
    } else if (!progress.shiftingSince) {
        progress.shiftingSince = now;
    }
    const auto wanted = wish(rollout, hasTarget, now, progress.shiftingSince.value_or(now));
    if (!isSame(wanted, progress.wish)) {
        progress.wish = wanted;
        progress.wishedSince = now;
    }
    const Duration delay = m_settings.rankDelay * static_cast<std::int64_t>(rank);
    return now >= progress.wishedSince + delay ? wanted : std::nullopt;
}

std::optional<RolloutStatus> RolloutJudge::wish(const Rollout &rollout, bool hasTarget,
                                                SteadyTime now, SteadyTime shiftingSince) const
{
    RolloutStatus status {rollout.order->targetVersion, RolloutState::Serving, false};
    const RolloutStatus *current = rollout.currentStatus();
    if (current == nullptr) {
        return status;
    }
    const RolloutCounts counts = pooledCounts(rollout);
    if (m_evidence.isBad(counts)) {
        status.state = RolloutState::RolledBack;
        return status;
    }
    if (current->isShifting) {
        if (now < shiftingSince + RolloutPlan::shiftTime(m_settings.plan, *rollout.order)) {
            return std::nullopt;
        }
        status.state = RolloutState::Complete;
        return status;
    }
    if (!isDue(rollout, counts, hasTarget, now)) {
        return std::nullopt;
    }
    if (m_evidence.isBadAtEnd(counts)) {
        status.state = RolloutState::RolledBack;
    } else {
        status.isShifting = true;
    }
    return status;
}

bool RolloutJudge::isDue(const Rollout &rollout, const RolloutCounts &counts, bool hasTarget,
                         SteadyTime now) const
{
    const Duration elapsed = now - rollout.orderedAt;
    const Duration duration = rollout.order->duration;
    const ReplyComparison all = overAllRoutes(counts);
    if (elapsed >= scaled(duration, m_settings.firstDue)
        && all.target.total() >= m_settings.enoughReplies) {
        return hasTarget;
    }
    // Without any reply of the target version the traffic may move only if there is none.
    const bool isTried = all.target.total() > 0 || all.other.total() == 0;
    return elapsed >= scaled(duration, m_settings.lastDue) && hasTarget && isTried;
}

} // namespace pimentoward
