#pragma once

#include "Pimentoward/Request/Gather.h"

#include <random>
#include <vector>

namespace pimentoward {

/// Chooses the backend server for one sending from what this VM has seen of each. Does no input or
/// output but for its random numbers.
///
/// Load pattern: two or three replicas of a shard, one of which pauses, is slow or is full. Every
/// VM decides alone, so a small random part keeps them from choosing alike.
class BackendChooser
{
public:
    /// One backend server that is in service.
    struct Candidate
    {
        const BackendServerId *id = nullptr;
        /// It stands in the failure domain of this VM.
        bool isLocal = false;
        /// Others are used only where no preferred one can be.
        bool isPreferred = true;
        bool hasFreeCapacity = false;
        bool isSuspect = false;
        /// Expected time, as a multiple of the usual one.
        double slowness = 1;
    };

    struct Settings
    {
        /// Slowness that the way to another failure domain counts for.
        double remotePenalty = 0.35;
        /// Greatest random part of a slowness, as a share.
        double jitter = 0.1;
        std::uint32_t seed = 1;
    };

    explicit BackendChooser(const Settings &settings);

    /// The best candidate for `purpose`.
    Gather::Choice choose(const std::vector<Candidate> &candidates, SendPurpose purpose);

private:
    const Candidate *best(const std::vector<Candidate> &candidates, bool isPreferred,
                          bool needsHealthy);
    double cost(const Candidate &candidate);

    Settings m_settings;
    std::mt19937 m_random;
};

} // namespace pimentoward
