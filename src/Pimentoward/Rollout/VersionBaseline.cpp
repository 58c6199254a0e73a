#include "Pimentoward/Rollout/VersionBaseline.h"

#include <limits>
#include <tuple>

namespace pimentoward {

namespace {

const Rollout *rolloutOf(const RolloutTable &rollouts, const ServiceName &service)
{
    const auto found = rollouts.find(service);
    return found == rollouts.end() ? nullptr : &found->second;
}

/// True if a roll-out decides about `version`, so that it is not the established one.
bool isTarget(const Rollout *rollout, const SoftwareVersion &version)
{
    if (rollout == nullptr) {
        return false;
    }
    const bool isOrdered = rollout->order && rollout->order->targetVersion == version;
    return isOrdered || (rollout->status && rollout->status->targetVersion == version);
}

bool isListed(const std::vector<BackendRecord> &records, const SoftwareVersion &version)
{
    return std::any_of(records.begin(), records.end(),
                       [&](const BackendRecord &record) { return record.version == version; });
}

} // namespace

std::optional<SoftwareVersion>
VersionBaseline::oldestVersion(const std::vector<BackendRecord> &records, const Rollout *rollout)
{
    struct Seen
    {
        Incarnation firstStart = std::numeric_limits<Incarnation>::max();
        std::size_t count = 0;
    };
    std::map<SoftwareVersion, Seen> versions;
    for (const BackendRecord &record : records) {
        if (!isTarget(rollout, record.version)) {
            Seen &seen = versions[record.version];
            seen.firstStart = std::min(seen.firstStart, record.incarnation);
            ++seen.count;
        }
    }
    // Versions that started at the same time are ordered by their servers, then by their names, so
    // that all VMs choose the same one.
    const auto oldest
        = std::min_element(versions.begin(), versions.end(), [](const auto &a, const auto &b) {
              return std::make_tuple(a.second.firstStart, b.second.count, std::cref(a.first))
                  < std::make_tuple(b.second.firstStart, a.second.count, std::cref(b.first));
          });
    return oldest == versions.end() ? std::nullopt : std::make_optional(oldest->first);
}

void VersionBaseline::changeRollouts(const RolloutTable &rollouts)
{
    for (const auto &[service, rollout] : rollouts) {
        if (rollout.status && rollout.status->state == RolloutState::Complete) {
            m_versions[service] = rollout.status->targetVersion;
        }
    }
}

void VersionBaseline::changeBackends(const BackendList &list, const RolloutTable &rollouts)
{
    for (const auto &[service, records] : list.byService) {
        const auto known = m_versions.find(service);
        if (known != m_versions.end() && isListed(records, known->second)) {
            continue;
        }
        if (const auto oldest = oldestVersion(records, rolloutOf(rollouts, service))) {
            m_versions[service] = *oldest;
        }
    }
}

std::optional<SoftwareVersion> VersionBaseline::version(const ServiceName &service) const
{
    const auto found = m_versions.find(service);
    return found == m_versions.end() ? std::nullopt : std::make_optional(found->second);
}

} // namespace pimentoward
