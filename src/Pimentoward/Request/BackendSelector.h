#pragma once

#include "Pimentoward/Connection/BackendFleet.h"
#include "Pimentoward/Request/BackendChooser.h"
#include "Pimentoward/Rollout/RolloutTraffic.h"

#include <functional>
#include <vector>

namespace pimentoward {

/// Finds the backend servers of a service that may get an attempt now, and chooses one of them.
/// Must be used from one task only.
class BackendSelector
{
public:
    struct Settings
    {
        BackendChooser::Settings chooser;
        /// Failure domain of this VM.
        FailureDomain failureDomain;
        /// The corresponding checks of the Forwarder.
        bool coldLimit = true;
        bool leavingReplies = true;
        bool requestedPauses = true;
    };
    /// Runs when a backend server of `service` is left out now but may be chosen at `time`,
    /// although no event announces that.
    using RetryHook = std::function<void(const ServiceName &service, SteadyTime time)>;

    /// `fleet` and `rollouts` must outlive this object.
    BackendSelector(const BackendFleet &fleet, const RolloutTraffic &rollouts,
                    const Settings &settings, RetryHook retryLater);

    /// Chooses a backend server of `service` that is not in `avoid`.
    Gather::Choice choose(const ServiceName &service, const std::vector<BackendServerId> &avoid,
                          SendPurpose purpose, SteadyTime now);

private:
    /// Chooses among the backend servers with `version`; among all if there is none.
    Gather::Choice chooseAmong(const ServiceName &service,
                               const std::optional<SoftwareVersion> &version,
                               const std::vector<BackendServerId> &avoid, SendPurpose purpose,
                               SteadyTime now);
    /// True if this backend server will get no attempt, however long the request waits.
    bool isExcluded(const BackendLink &link, const std::vector<BackendServerId> &avoid) const;

    const BackendFleet &m_fleet;
    const RolloutTraffic &m_rollouts;
    Settings m_settings;
    RetryHook m_retryLater;
    BackendChooser m_chooser;
};

} // namespace pimentoward
