#pragma once

#include "Pimentoward/Core/Types.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentoward {

/// Counts the VMs among which shared limits are divided. Does no input or output.
///
/// Load pattern: VMs that are killed, frozen or cut off from the store still spend, or have just
/// spent, their share of a limit. A VM that is removed from the list therefore counts for a while
/// longer, so that the shares never add up to more than the limit.
class LimitSharingMembers
{
public:
    struct Settings
    {
        /// How long a VM is counted after its removal: as long as the longest window of a limit.
        Duration removalGracePeriod = std::chrono::seconds(12);
    };

    LimitSharingMembers(MemberId self, const Settings &settings);

    /// Counts a VM whose record is in the store.
    void onMemberPresent(const MemberId &member);
    /// Reports that a VM's record was removed. This VM itself always counts.
    void onMemberRemoved(const MemberId &member, SteadyTime now);
    /// The VMs that count at `now`, this one included, in the order of their names.
    std::vector<MemberId> countedMembers(SteadyTime now);
    /// When the next removed VM stops being counted; nothing if no removed VM is counted.
    std::optional<SteadyTime> nextChange() const;

private:
    MemberId m_self;
    Settings m_settings;
    /// When the record of each VM was removed; nothing for a VM whose record is present.
    std::map<MemberId, std::optional<SteadyTime>> m_members;
};

} // namespace pimentoward
