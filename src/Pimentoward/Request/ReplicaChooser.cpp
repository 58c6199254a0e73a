#include "Pimentoward/Request/ReplicaChooser.h"

#include <algorithm>
#include <cmath>

namespace pimentoward {

ReplicaChooser::ReplicaChooser()
    : ReplicaChooser(Settings())
{ }

ReplicaChooser::ReplicaChooser(const Settings &settings)
    : m_settings(settings)
    , m_defaultWait(settings.defaultWait)
    , m_random(settings.seed)
{ }

void ReplicaChooser::onReport(const BackendServerId &backendServer, const LoadReport &report,
                              SteadyTime now)
{
    // A limit of 0 means that there is no report: a VM that refuses a subrequest because it does
    // not own the backend server knows nothing about its load.
    if (report.limit == 0) {
        return;
    }
    Report &known = m_reports[backendServer];
    known = {report, now, 0, true};
    // The default wait is a moving average of all reports.
    constexpr int reportsPerMean = 64;
    m_defaultWait += (reportedWait(known) - m_defaultWait) / reportsPerMean;
}

void ReplicaChooser::onSent(const BackendServerId &backendServer)
{
    ++m_reports[backendServer].sentSinceReport;
}

std::optional<BackendServerId> ReplicaChooser::choose(const Shard &shard,
                                                      const std::vector<BackendServerId> &avoid,
                                                      Purpose purpose, SteadyTime now,
                                                      const StatusHook &statusOf)
{
    std::vector<Candidate> all = candidates(shard, avoid, purpose, now, statusOf);
    if (all.empty()) {
        return std::nullopt;
    }
    if (!m_settings.usesReports) {
        return *all.front().id;
    }
    // Use a replica without an owner, or a cold one, only if there is no other.
    const auto keepIfAny = [&all](auto predicate) {
        const auto end = std::stable_partition(all.begin(), all.end(), predicate);
        if (end != all.begin()) {
            all.erase(end, all.end());
        }
    };
    keepIfAny([](const Candidate &c) { return c.status.hasOwner; });
    keepIfAny([](const Candidate &c) { return !c.isCold; });
    // Draw two replicas at random and in random order, so that equal replicas share the load.
    constexpr std::size_t sampleSize = 2;
    for (std::size_t index = 0; index < std::min(sampleSize, all.size()); ++index) {
        std::swap(all[index], all[index + m_random() % (all.size() - index)]);
    }
    const bool isSecondBetter = all.size() >= sampleSize && isBetter(all[1], all[0]);
    return *all[isSecondBetter ? 1 : 0].id;
}

Duration ReplicaChooser::expectedWait(const BackendServerId &backendServer, SteadyTime now) const
{
    const auto found = m_reports.find(backendServer);
    if (found == m_reports.end() || !found->second.isKnown) {
        return m_defaultWait;
    }
    const Report &report = found->second;
    const double age = std::chrono::duration<double>(now - report.time).count();
    const double halfLife = std::chrono::duration<double>(m_settings.halfLife).count();
    const double weight = std::exp2(-age / halfLife);
    const auto reportedNanos = static_cast<double>(reportedWait(report).count());
    const auto defaultNanos = static_cast<double>(m_defaultWait.count());
    return Duration(
        static_cast<std::int64_t>(weight * reportedNanos + (1 - weight) * defaultNanos));
}

bool ReplicaChooser::isCold(const BackendServerId &backendServer, SteadyTime now) const
{
    const auto found = m_reports.find(backendServer);
    return found != m_reports.end() && found->second.isKnown && found->second.load.cold
        && now - found->second.time <= m_settings.maxHedgeReportAge;
}

bool ReplicaChooser::isWarmAndIdle(const BackendServerId &backendServer, SteadyTime now) const
{
    const auto found = m_reports.find(backendServer);
    return found != m_reports.end() && found->second.isKnown && !found->second.load.cold
        && found->second.load.queueLength == 0
        && now - found->second.time <= m_settings.maxHedgeReportAge;
}

std::vector<ReplicaChooser::Candidate>
ReplicaChooser::candidates(const Shard &shard, const std::vector<BackendServerId> &avoid,
                           Purpose purpose, SteadyTime now, const StatusHook &statusOf) const
{
    std::vector<Candidate> result;
    for (const BackendServerId &id : shard.replicas) {
        if (std::find(avoid.begin(), avoid.end(), id) != avoid.end()) {
            continue;
        }
        const Candidate candidate {&id, statusOf(id), isCold(id, now), expectedWait(id, now)};
        if (m_settings.avoidsLeaving && !candidate.status.canAcceptNewWork) {
            continue;
        }
        const bool isAllowed = purpose != Purpose::Hedge || !m_settings.hedgesOnlyToIdle
            || (candidate.status.hasOwner && isWarmAndIdle(id, now));
        if (isAllowed) {
            result.push_back(candidate);
        }
    }
    return result;
}

bool ReplicaChooser::isBetter(const Candidate &a, const Candidate &b)
{
    // Waits that differ by at most an eighth count as equal. The local replica is then preferred.
    constexpr int tieDivisor = 8;
    const Duration difference = a.wait > b.wait ? a.wait - b.wait : b.wait - a.wait;
    const bool isTie = difference <= std::max(a.wait, b.wait) / tieDivisor;
    if (isTie && a.status.isLocal != b.status.isLocal) {
        return a.status.isLocal;
    }
    return a.wait < b.wait;
}

Duration ReplicaChooser::reportedWait(const Report &report)
{
    constexpr std::chrono::microseconds minServiceTime {100};
    const Duration serviceTime = std::max<Duration>(report.load.serviceTime, minServiceTime);
    const std::int64_t subrequestsAhead
        = std::int64_t {report.load.queueLength} + std::int64_t {report.sentSinceReport};
    return serviceTime
        + serviceTime * subrequestsAhead / std::max<std::int64_t>(report.load.limit, 1);
}

} // namespace pimentoward
