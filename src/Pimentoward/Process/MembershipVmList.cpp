#include "Pimentoward/Process/MembershipVmList.h"

namespace pimentoward {

namespace {

/// VM lists in a row that must omit a member before it can be removed.
constexpr int minAbsences = 2;

} // namespace

void MembershipVmList::update(const std::vector<VmRecord> &vms, const MemberList &list)
{
    m_vms.clear();
    for (const VmRecord &vm : vms) {
        m_vms[vm.id] = vm;
    }
    for (const auto &[id, member] : list.record().members) {
        m_absences[id] = m_vms.count(id) > 0 ? 0 : m_absences[id] + 1;
    }
}

bool MembershipVmList::isLeaving(const MemberId &id) const
{
    const auto found = m_vms.find(id);
    return found != m_vms.end() && found->second.leaving;
}

MemberList::PendingChanges MembershipVmList::pendingChanges(const MemberId &self,
                                                            const MemberList &list,
                                                            const MembershipPeers &peers,
                                                            SteadyTime now) const
{
    MemberList::PendingChanges result;
    for (const auto &[id, vm] : m_vms) {
        const MembershipPeers::Peer *peer = peers.find(id);
        const bool isRunning = peer != nullptr && peers.isHeard(id, now) && !peer->leaving;
        if (isRunning && !vm.leaving && !list.contains(id)) {
            result.additions[id] = {id, vm.host, vm.failureDomain};
        }
    }
    for (const auto &[id, member] : list.record().members) {
        if (id != self && isRemovable(id, peers, now)) {
            result.removals.insert(id);
        }
    }
    return result;
}

bool MembershipVmList::isRemovable(const MemberId &id, const MembershipPeers &peers,
                                   SteadyTime now) const
{
    const MembershipPeers::Peer *peer = peers.find(id);
    const bool hasAnnouncedLeave = peer != nullptr && peer->leaving;
    const auto absences = m_absences.find(id);
    const bool isAbsent = absences != m_absences.end() && absences->second >= minAbsences;
    // A member is given time to hand over its backend servers. Missing heartbeats alone are no
    // reason to remove it.
    const bool isInactive
        = !peers.isHeard(id, now) || (hasAnnouncedLeave && peer->requested.empty());
    return isInactive && (hasAnnouncedLeave || isLeaving(id) || isAbsent);
}

} // namespace pimentoward
