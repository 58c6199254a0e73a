#pragma once

#include "Pimentoward/Rollout/RolloutRecords.h"

#include <vector>

namespace pimentoward {

/// Decides which VMs send requests to the target version while it is judged, and how many, so that
/// all VMs together keep within the limit. Each VM decides for itself; nothing is exchanged.
///
/// Load pattern: a service gets a few requests a second over very many VMs. If each VM sent its
/// share of them, none would see enough replies of both versions to compare them. A few VMs,
/// chosen by rendezvous hash, therefore send about half of their requests to the target version,
/// and only these VMs report what they count.
class RolloutPlan
{
public:
    struct Settings
    {
        /// Maximum share of a service's requests that the target version may get before it is
        /// known to be good; 0 means that orders are not followed.
        double maxShare = 0;
        /// Requests that the target version may get beyond that share.
        double allowance = 0;
        /// How soon after it has shown to be bad a version must get no more requests.
        Duration rollbackTime = std::chrono::seconds(5);
    };

    /// The part of one VM in a roll-out.
    struct Part
    {
        /// Share of this VM's requests for the target version; 0 if it sends none.
        double share = 0;
        /// Requests that it may send to it beyond the share.
        double allowance = 0;

        /// True if one more of this VM's requests may go to the target version, after `sent` of its
        /// `seen` requests.
        bool allows(std::uint64_t sent, std::uint64_t seen) const;
    };

    /// The part of `self` among `members`, all VMs that share limits.
    static Part part(const Settings &settings, const std::vector<MemberId> &members,
                     const MemberId &self, const ServiceName &service);
    /// Number of VMs that send requests to the target version, out of `members`.
    static std::size_t senders(const Settings &settings, std::size_t members);
    /// How long all traffic may go to the target version before the roll-out is complete.
    static Duration shiftTime(const Settings &settings, const RolloutOrder &order);
};

} // namespace pimentoward
