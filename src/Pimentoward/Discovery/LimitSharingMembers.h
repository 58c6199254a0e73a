#pragma once

#include "Pimentoward/Core/Types.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentoward {

/// Counts the VMs among which shared limits are divided. Does no input or output.
///
/// Load pattern: VMs that are killed, frozen or cut off from the store still spend, or have just
/// spent, their part of a limit; one that vanishes from the list therefore counts for a while
/// longer, so that the parts never add up to more than the limit.
class LimitSharingMembers
{
public:
    struct Settings
    {
        /// How long a VM counts after it has vanished; as long as the longest window of a limit.
        Duration removalGracePeriod = std::chrono::seconds(12);
    };

    LimitSharingMembers(MemberId self, const Settings &settings);

    void onMemberPresent(const MemberId &member);
    void onMemberRemoved(const MemberId &member, SteadyTime now);
    /// VMs that count at `now`, this one included, in the order of their names.
    std::vector<MemberId> countedMembers(SteadyTime now);
    /// When one of countedMembers() next ceases to count.
    std::optional<SteadyTime> nextChange() const;

private:
    MemberId m_self;
    Settings m_settings;
    /// Since when each VM is gone; nothing for those that are present.
    std::map<MemberId, std::optional<SteadyTime>> m_members;
};

} // namespace pimentoward
