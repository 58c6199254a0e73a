#pragma once

#include "Pimentoward/Process/MemberRecord.h"
#include "Pimentoward/Process/MembershipSettings.h"
#include "Pimentoward/Process/RendezvousHash.h"
#include "Pimentoward/Process/Store.h"

#include <optional>
#include <set>
#include <vector>

namespace pimentoward {

/// The newest member list that this process knows, and which change of it may come next.
class MemberList
{
public:
    /// What speaks for a change.
    struct PendingChanges
    {
        /// VMs that run, are heard, and are on the VM list.
        std::map<MemberId, Member> additions;
        /// Members gone by leave message, VM list or operators' exception; never by silence.
        std::set<MemberId> removals;
    };

    explicit MemberList(const MembershipSettings &settings);

    /// Takes a newer list; false where it is not newer.
    bool adopt(const MemberRecord &record);
    const MemberRecord &record() const { return m_record; }
    Epoch epoch() const { return m_record.epoch; }
    bool contains(const MemberId &member) const { return m_record.members.count(member) > 0; }
    /// Members that suffice to agree.
    std::size_t quorum() const { return m_settings.quorum(m_record.members.size()); }
    /// Place of a member in the sorted list.
    std::optional<std::size_t> indexOf(const MemberId &member) const;
    std::vector<RendezvousHash::Candidate> candidates() const;

    /// The next list, one member apart; nothing while no change is wished or fewer than more than
    /// half of the members are known to have held the current list for the hold time (`holders`,
    /// this member included).
    std::optional<MemberRecord> nextChange(const PendingChanges &pendingChanges,
                                           std::size_t holders) const;
    /// The first list of a group, from the VM list. No list has been before it, so it may hold any
    /// number of members.
    static MemberRecord first(const Member &self, const std::vector<VmRecord> &vms);

private:
    MembershipSettings m_settings;
    MemberRecord m_record;
};

} // namespace pimentoward
