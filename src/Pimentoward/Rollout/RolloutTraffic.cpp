#include "Pimentoward/Rollout/RolloutTraffic.h"

namespace pimentoward {

RolloutTraffic::RolloutTraffic(const Settings &settings)
    : m_settings(settings)
    , m_evidence(settings.evidence)
{ }

std::string RolloutTraffic::reportKey(const ServiceName &service) const
{
    return m_settings.reportKeyPrefix + service + m_settings.reportKeySuffix;
}

void RolloutTraffic::update(const BackendListPtr &list, const RolloutTablePtr &rollouts,
                            const std::vector<MemberId> &members, SteadyTime now)
{
    if (m_settings.plan.maxShare <= 0) {
        m_open.clear();
        return;
    }
    m_baseline.changeRollouts(*rollouts);
    if (list != m_list) {
        m_list = list;
        m_baseline.changeBackends(*list, *rollouts);
    }
    const bool areMembersChanged = members != m_members;
    m_members = members;
    for (auto it = m_open.begin(); it != m_open.end();) {
        const auto found = rollouts->find(it->first);
        const bool isOpen = found != rollouts->end() && found->second.isOpen()
            && found->second.order->targetVersion == it->second.target;
        it = isOpen ? std::next(it) : m_open.erase(it);
    }
    for (const auto &[service, rollout] : *rollouts) {
        if (rollout.isOpen()) {
            Open &open = m_open[service];
            if (areMembersChanged) {
                open.part.reset();
            }
            updateOpen(open, service, rollout, now);
        }
    }
}

void RolloutTraffic::updateOpen(Open &open, const ServiceName &service, const Rollout &rollout,
                                SteadyTime now)
{
    open.target = rollout.order->targetVersion;
    if (!open.part) {
        open.part = RolloutPlan::part(m_settings.plan, m_members, m_settings.self, service);
    }
    open.others = pooledCounts(rollout, reportKey(service));
    const RolloutStatus *current = rollout.currentStatus();
    if (current == nullptr || !current->isShifting) {
        open.shiftingSince.reset();
    } else if (!open.shiftingSince) {
        open.shiftingSince = now;
    }
    judge(open);
}

bool RolloutTraffic::judge(Open &open) const
{
    if (open.isBad) {
        return false;
    }
    RolloutCounts pooled = open.others;
    for (const auto &[route, comparison] : open.own) {
        pooled[route].add(comparison);
    }
    open.isBad = m_evidence.isBad(pooled);
    return open.isBad;
}

RolloutTraffic::Choice RolloutTraffic::choose(const ServiceName &service, bool isFirst,
                                              bool isRepeatable, SteadyTime now) const
{
    Choice choice;
    if (m_settings.plan.maxShare <= 0) {
        return choice;
    }
    choice.otherwise = m_baseline.version(service);
    const auto found = m_open.find(service);
    if (found == m_open.end() || found->second.isBad) {
        return choice;
    }
    const Open &open = found->second;
    const bool isShifting
        = open.shiftingSince && now < *open.shiftingSince + m_settings.maxShiftTime;
    const bool isTrial = isFirst && isRepeatable && open.part->allows(open.sent, open.seen);
    if (isShifting || isTrial) {
        choice.preferred = open.target;
    }
    return choice;
}

void RolloutTraffic::onSent(const ServiceName &service, const SoftwareVersion &version)
{
    if (const auto found = m_open.find(service); found != m_open.end()) {
        ++found->second.seen;
        found->second.sent += version == found->second.target ? 1 : 0;
    }
}

bool RolloutTraffic::onReply(const Reply &reply)
{
    const auto found = m_open.find(reply.service);
    // Only the VMs that compare both versions report, so that the counts stem from the same time.
    if (found == m_open.end() || found->second.part->share <= 0) {
        return false;
    }
    Open &open = found->second;
    ReplyComparison &comparison = open.own[reply.route];
    ReplyCounts &counts = reply.version == open.target ? comparison.target : comparison.other;
    const bool isBad = reply.isFailure || reply.slowness >= m_settings.slowRatio;
    ++(isBad ? counts.bad : counts.good);
    open.isReportDue = true;
    return judge(open);
}

std::vector<RolloutReport> RolloutTraffic::takeReports()
{
    std::vector<RolloutReport> reports;
    for (auto &[service, open] : m_open) {
        if (open.isReportDue) {
            reports.push_back({service, open.target, open.own});
            open.isReportDue = false;
        }
    }
    return reports;
}

} // namespace pimentoward
