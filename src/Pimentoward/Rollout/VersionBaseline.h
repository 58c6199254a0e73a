#pragma once

#include "Pimentoward/Rollout/RolloutRecords.h"
#include "Pimentoward/Version/BackendDirectory.h"

#include <optional>
#include <unordered_map>

namespace pimentoward {

/// Remembers which software version of each service is the established one, which gets requests
/// without an order. Performs no I/O.
///
/// Load pattern: backend servers of a new version register before the operator orders the roll-out,
/// while others of the established version crash and come back.
class VersionBaseline
{
public:
    /// Applies roll-outs that have changed.
    void changeRollouts(const RolloutTable &rollouts);
    /// Applies a changed list of backend servers, after the roll-outs.
    void changeBackends(const BackendList &list, const RolloutTable &rollouts);
    /// The established version of `service`; nothing if none is known.
    std::optional<SoftwareVersion> version(const ServiceName &service) const;

private:
    static std::optional<SoftwareVersion> oldestVersion(const std::vector<BackendRecord> &records,
                                                        const Rollout *rollout);

    std::unordered_map<ServiceName, SoftwareVersion> m_versions;
};

} // namespace pimentoward
