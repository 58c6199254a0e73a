#pragma once

#include "Pimentoward/Process/MemberList.h"
#include "Pimentoward/Process/MembershipPeers.h"
#include "Pimentoward/Process/Store.h"

#include <map>
#include <vector>

namespace pimentoward {

/// The platform's VM list as last read, and the changes of the member list that follow from it and
/// from the members' leave messages.
class MembershipVmList
{
public:
    /// Stores a VM list that was just read.
    void update(const std::vector<VmRecord> &vms, const MemberList &list);
    const std::map<MemberId, VmRecord> &vms() const { return m_vms; }
    /// True if the VM list announces that the VM will be removed.
    bool isLeaving(const MemberId &id) const;
    /// Returns the pending changes of the member list. VMs that are on the VM list and send
    /// heartbeats are added. A member is removed if it has announced that it leaves, or if the VM
    /// list has announced its removal or omitted it twice in a row, but only once it has handed
    /// over its backend servers or sends no heartbeats.
    MemberList::PendingChanges pendingChanges(const MemberId &self, const MemberList &list,
                                              const MembershipPeers &peers, SteadyTime now) const;

private:
    bool isRemovable(const MemberId &id, const MembershipPeers &peers, SteadyTime now) const;

    std::map<MemberId, VmRecord> m_vms;
    /// For each member, the number of VM lists in a row that omitted it.
    std::map<MemberId, int> m_absences;
};

} // namespace pimentoward
