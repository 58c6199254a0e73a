#include "Pimentoward/Process/MemberList.h"

#include <iterator>

namespace pimentoward {

MemberList::MemberList(const MembershipSettings &settings)
    : m_settings(settings)
{ }

bool MemberList::replaceIfNewer(const MemberRecord &record)
{
    if (record.epoch <= m_record.epoch) {
        return false;
    }
    m_record = record;
    return true;
}

std::optional<std::size_t> MemberList::indexOf(const MemberId &member) const
{
    const auto found = m_record.members.find(member);
    if (found == m_record.members.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::distance(m_record.members.begin(), found));
}

std::vector<RendezvousHash::Candidate> MemberList::candidates() const
{
    std::vector<RendezvousHash::Candidate> result;
    for (const auto &[id, member] : m_record.members) {
        result.push_back({id, member.failureDomain});
    }
    return result;
}

std::optional<MemberRecord> MemberList::nextChange(const PendingChanges &pendingChanges,
                                                   std::size_t holders) const
{
    // Majorities of lists that are two changes apart need not overlap. A change therefore waits
    // until more than half of the members have had the current list for the hold time: by then,
    // owners under the previous list have stopped dispatching.
    if (m_record.epoch == 0 || holders < quorum()) {
        return std::nullopt;
    }
    MemberRecord next = m_record;
    ++next.epoch;
    for (const MemberId &member : pendingChanges.removals) {
        if (next.members.size() > 1 && next.members.erase(member) > 0) {
            return next;
        }
    }
    for (const auto &[id, member] : pendingChanges.additions) {
        if (pendingChanges.removals.count(id) == 0 && next.members.emplace(id, member).second) {
            return next;
        }
    }
    return std::nullopt;
}

MemberRecord MemberList::first(const Member &self, const std::vector<VmRecord> &vms)
{
    MemberRecord record;
    record.epoch = 1;
    for (const VmRecord &vm : vms) {
        if (!vm.leaving) {
            record.members[vm.id] = {vm.id, vm.host, vm.failureDomain};
        }
    }
    record.members[self.id] = self;
    return record;
}

} // namespace pimentoward
