#pragma once

#include "Pimentoward/Request/Gather.h"

#include <random>
#include <vector>

namespace pimentoward {

/// Chooses the backend server for one attempt, based on what this VM has observed of each server.
/// Performs no I/O; apart from its random numbers it is deterministic.
///
/// Load pattern: a shard has two or three replicas, one of which is paused, slow or at capacity.
/// The VMs choose independently of each other, so a small random factor keeps them from all
/// choosing the same replica.
class BackendChooser
{
public:
    /// One backend server that is in service.
    struct Candidate
    {
        const BackendServerId *id = nullptr;
        /// True if the backend server is in the failure domain of this VM.
        bool isLocal = false;
        /// Candidates that are not preferred are used only if no preferred one is usable.
        bool isPreferred = true;
        bool hasFreeCapacity = false;
        /// True if an attempt at this backend server is overdue or recent ones failed. Suspect
        /// candidates are used only if all candidates are suspect, and never for a hedge.
        bool isSuspect = false;
        /// Expected reply time, as a multiple of the median time.
        double slowness = 1;
    };

    struct Settings
    {
        /// Added to the slowness of a candidate in another failure domain.
        double remotePenalty = 0.35;
        /// Maximum random increase of a candidate's cost, as a share of that cost.
        double jitter = 0.1;
        std::uint32_t seed = 1;
    };

    explicit BackendChooser(const Settings &settings);

    /// Chooses the best candidate for an attempt with `purpose`.
    Gather::Choice choose(const std::vector<Candidate> &candidates, SendPurpose purpose);

private:
    const Candidate *best(const std::vector<Candidate> &candidates, bool isPreferred,
                          bool needsHealthy);
    double cost(const Candidate &candidate);

    Settings m_settings;
    std::mt19937 m_random;
};

} // namespace pimentoward
