#pragma once

#include "Pimentoward/Rollout/RolloutEvidence.h"
#include "Pimentoward/Rollout/RolloutPlan.h"

#include <map>
#include <optional>

namespace pimentoward {

/// Decides which status a VM should write for a roll-out. Every VM applies the same rule to the
/// same pooled counts. The VM with rank 0 writes at once; each further rank waits a little longer,
/// so that usually one VM writes, and the next one does when it is lost. The store's condition on
/// the status' revision decides between two that write. Performs no I/O.
///
/// Load pattern: the VM that judges is killed, frozen or cut off at any moment of a roll-out, also
/// between its write and the answer to it.
class RolloutJudge
{
public:
    struct Settings
    {
        RolloutPlan::Settings plan;
        RolloutEvidence::Settings evidence;
        /// Share of the duration after which a version without evidence against it is completed,
        /// if enough of its replies were compared.
        double firstDue = 0.7;
        /// Share of the duration after which it is completed whatever was compared.
        double lastDue = 0.85;
        /// Replies of the target version that are enough to complete at `firstDue`.
        std::uint64_t enoughReplies = 30;
        /// How much longer each further rank waits before it writes.
        Duration rankDelay = std::chrono::milliseconds(800);
    };

    explicit RolloutJudge(const Settings &settings);

    /// The status that this VM should write now; nothing if it should wait. `rank` is its rank
    /// among the VMs for the service. `hasTarget` is true if backend servers of the target version
    /// are in service.
    std::optional<RolloutStatus> decide(const ServiceName &service, const Rollout &rollout,
                                        std::size_t rank, bool hasTarget, SteadyTime now);

private:
    /// What the status should become, regardless of which VM writes it.
    std::optional<RolloutStatus> wish(const Rollout &rollout, bool hasTarget, SteadyTime now,
                                      SteadyTime shiftingSince) const;
    bool isDue(const Rollout &rollout, const RolloutCounts &counts, bool hasTarget,
               SteadyTime now) const;

    /// How long something has been the case for one service.
    struct Progress
    {
        std::optional<SteadyTime> shiftingSince;
        std::optional<RolloutStatus> wish;
        SteadyTime wishedSince {};
    };

    Settings m_settings;
    RolloutEvidence m_evidence;
    std::map<ServiceName, Progress> m_progress;
};

} // namespace pimentoward
