#include "Pimentoward/Request/ReplicaChooser.h"

#include <algorithm>
#include <cmath>

namespace pimentoward {

ReplicaChooser::ReplicaChooser()
    : ReplicaChooser(Settings())
{ }

ReplicaChooser::ReplicaChooser(const Settings &settings)
    : m_settings(settings)
    , m_neutralWait(settings.neutralWait)
    , m_random(settings.seed)
{ }

void ReplicaChooser::onReport(const BackendServerId &backendServer, const LoadReport &report,
                              SteadyTime now)
{
    // The owner that refuses a subrequest it does not own knows nothing of the server.
    if (report.limit == 0) {
        return;
    }
    Report &known = m_reports[backendServer];
    known = {report, now, 0, true};
    // The neutral wait follows the mean of all reports.
    constexpr int reportsPerMean = 64;
    m_neutralWait += (reportedWait(known) - m_neutralWait) / reportsPerMean;
}

void ReplicaChooser::onSent(const BackendServerId &backendServer)
{
    ++m_reports[backendServer].sentSince;
}

std::optional<BackendServerId> ReplicaChooser::choose(const Shard &shard,
                                                      const std::vector<BackendServerId> &avoid,
                                                      Purpose purpose, SteadyTime now,
                                                      const StandingHook &standing)
{
    std::vector<Candidate> all = candidates(shard, avoid, purpose, now, standing);
    if (all.empty()) {
        return std::nullopt;
    }
    if (!m_settings.usesReports) {
        return *all.front().id;
    }
    // A replica without an owner, then a cold one, only where no other stands.
    const auto keepWhere = [&all](auto isWanted) {
        const auto end = std::stable_partition(all.begin(), all.end(), isWanted);
        if (end != all.begin()) {
            all.erase(end, all.end());
        }
    };
    keepWhere([](const Candidate &c) { return c.standing.hasOwner; });
    keepWhere([](const Candidate &c) { return !c.isCold; });
    // Two at random, in random order, so that equal ones share the work.
    constexpr std::size_t choices = 2;
    for (std::size_t place = 0; place < std::min(choices, all.size()); ++place) {
        std::swap(all[place], all[place + m_random() % (all.size() - place)]);
    }
    const bool takesSecond = all.size() >= choices && isBetter(all[1], all[0]);
    return *all[takesSecond ? 1 : 0].id;
}

Duration ReplicaChooser::expectedWait(const BackendServerId &backendServer, SteadyTime now) const
{
    const auto found = m_reports.find(backendServer);
    if (found == m_reports.end() || !found->second.isKnown) {
        return m_neutralWait;
    }
    const Report &report = found->second;
    const double age = std::chrono::duration<double>(now - report.time).count();
    const double halfLife = std::chrono::duration<double>(m_settings.halfLife).count();
    const double weight = std::exp2(-age / halfLife);
    const auto reported = static_cast<double>(reportedWait(report).count());
    const auto neutral = static_cast<double>(m_neutralWait.count());
    return Duration(static_cast<std::int64_t>(weight * reported + (1 - weight) * neutral));
}

bool ReplicaChooser::isCold(const BackendServerId &backendServer, SteadyTime now) const
{
    const auto found = m_reports.find(backendServer);
    return found != m_reports.end() && found->second.isKnown && found->second.load.cold
        && now - found->second.time <= m_settings.hedgeReportAge;
}

bool ReplicaChooser::isIdle(const BackendServerId &backendServer, SteadyTime now) const
{
    const auto found = m_reports.find(backendServer);
    return found != m_reports.end() && found->second.isKnown && !found->second.load.cold
        && found->second.load.queueLength == 0
        && now - found->second.time <= m_settings.hedgeReportAge;
}

std::vector<ReplicaChooser::Candidate>
ReplicaChooser::candidates(const Shard &shard, const std::vector<BackendServerId> &avoid,
                           Purpose purpose, SteadyTime now, const StandingHook &standing) const
{
    std::vector<Candidate> result;
    for (const BackendServerId &id : shard.replicas) {
        if (std::find(avoid.begin(), avoid.end(), id) != avoid.end()) {
            continue;
        }
        const Candidate candidate {&id, standing(id), isCold(id, now), expectedWait(id, now)};
        if (m_settings.avoidsLeaving && !candidate.standing.mayTakeNewWork) {
            continue;
        }
        const bool isAllowed = purpose != Purpose::Hedge || !m_settings.hedgesOnlyOntoIdle
            || (candidate.standing.hasOwner && isIdle(id, now));
        if (isAllowed) {
            result.push_back(candidate);
        }
    }
    return result;
}

bool ReplicaChooser::isBetter(const Candidate &a, const Candidate &b)
{
    // Waits within an eighth of each other are a tie: the nearer one goes first.
    constexpr int tieShare = 8;
    const Duration difference = a.wait > b.wait ? a.wait - b.wait : b.wait - a.wait;
    const bool isTie = difference <= std::max(a.wait, b.wait) / tieShare;
    if (isTie && a.standing.isNear != b.standing.isNear) {
        return a.standing.isNear;
    }
    return a.wait < b.wait;
}

Duration ReplicaChooser::reportedWait(const Report &report)
{
    constexpr std::chrono::microseconds shortestService {100};
    const Duration service = std::max<Duration>(report.load.serviceTime, shortestService);
    const std::int64_t ahead
        = std::int64_t {report.load.queueLength} + std::int64_t {report.sentSince};
    return service + service * ahead / std::max<std::int64_t>(report.load.limit, 1);
}

} // namespace pimentoward
