#pragma once

#include "Pimentoward/Process/MemberList.h"
#include "Pimentoward/Process/MembershipPeers.h"
#include "Pimentoward/Process/Store.h"

#include <map>
#include <vector>

namespace pimentoward {

/// The platform's VM list as read last, and what it and the members' own words ask of the member
/// list.
class MembershipVmList
{
public:
    /// Takes a reading.
    void update(const std::vector<VmRecord> &vms, const MemberList &list);
    const std::map<MemberId, VmRecord> &vms() const { return m_vms; }
    /// True where the list announces that the VM will go.
    bool isLeaving(const MemberId &id) const;
    /// Changes to wish for: VMs that run and are listed may join; members go that have said so, or
    /// that the list has announced or left out twice, once they have handed over or are silent.
    MemberList::PendingChanges pendingChanges(const MemberId &self, const MemberList &list,
                                              const MembershipPeers &peers, SteadyTime now) const;

private:
    bool isRemovable(const MemberId &id, const MembershipPeers &peers, SteadyTime now) const;

    std::map<MemberId, VmRecord> m_vms;
    /// Readings in a row without the member.
    std::map<MemberId, int> m_absences;
};

} // namespace pimentoward
