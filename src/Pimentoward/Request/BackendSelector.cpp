#include "Pimentoward/Request/BackendSelector.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Interval at which a cold backend server that has reached its request rate limit is tried again.
constexpr std::chrono::milliseconds coldRetryPeriod {50};

} // namespace

BackendSelector::BackendSelector(const BackendFleet &fleet, const RolloutTraffic &rollouts,
                                 const Settings &settings, RetryHook retryLater)
    : m_fleet(fleet)
    , m_rollouts(rollouts)
    , m_settings(settings)
    , m_retryLater(std::move(retryLater))
    , m_chooser(settings.chooser)
{ }

bool BackendSelector::isExcluded(const BackendLink &link,
                                 const std::vector<BackendServerId> &avoid) const
{
    const bool isLeaving = m_settings.leavingReplies && link.notice().isLeaving;
    const bool isAvoided = std::find(avoid.begin(), avoid.end(), link.record().id) != avoid.end();
    return isAvoided || isLeaving || link.isMisdirected();
}

Gather::Choice BackendSelector::choose(const ServiceName &service,
                                       const std::vector<BackendServerId> &avoid,
                                       SendPurpose purpose, SteadyTime now)
{
    const bool isRepeatable = purpose != SendPurpose::FirstUnrepeatable;
    const bool isFirst = purpose == SendPurpose::First || !isRepeatable;
    const RolloutTraffic::Choice versions = m_rollouts.choose(service, isFirst, isRepeatable, now);
    if (versions.preferred) {
        Gather::Choice choice = chooseAmong(service, versions.preferred, avoid, purpose, now);
        if (!choice.backend.empty()) {
            return choice;
        }
    }
    return chooseAmong(service, versions.otherwise, avoid, purpose, now);
}

Gather::Choice BackendSelector::chooseAmong(const ServiceName &service,
                                            const std::optional<SoftwareVersion> &version,
                                            const std::vector<BackendServerId> &avoid,
                                            SendPurpose purpose, SteadyTime now)
{
    std::vector<BackendChooser::Candidate> candidates;
    std::optional<SteadyTime> pausedUntil;
    for (const BackendLink *link : m_fleet.linksOf(service)) {
        const bool hasVersion = !version || link->record().version == *version;
        if (!hasVersion || isExcluded(*link, avoid)) {
            continue;
        }
        const SteadyTime pauseEnd = link->notice().pausedUntil;
        if (m_settings.requestedPauses && now < pauseEnd) {
            pausedUntil = std::min(pausedUntil.value_or(pauseEnd), pauseEnd);
            continue;
        }
        const bool isColdLimitReached = m_settings.coldLimit && !link->coldLimit().allows(now);
        if (isColdLimitReached) {
            m_retryLater(service, now + coldRetryPeriod);
        }
        const BackendRecord &record = link->record();
        candidates.push_back({&record.id, record.failureDomain == m_settings.failureDomain,
                              link->isPreferred(), link->hasFreeCapacity() && !isColdLimitReached,
                              link->health().isSuspect(now), link->health().expectedSlowness(now)});
    }
    Gather::Choice choice = m_chooser.choose(candidates, purpose);
    if (candidates.empty() && pausedUntil) {
        choice.pausedUntil = pausedUntil;
        m_retryLater(service, *pausedUntil);
    }
    return choice;
}

} // namespace pimentoward
