#pragma once

#include "Pimentoward/Process/MemberRecord.h"
#include "Pimentoward/Process/MembershipSettings.h"
#include "Pimentoward/Process/RendezvousHash.h"
#include "Pimentoward/Process/Store.h"

#include <optional>
#include <set>
#include <vector>

namespace pimentoward {

/// Holds the newest member list that this process knows, and decides on the next change of it.
class MemberList
{
public:
    /// Members to add to and remove from the list.
    struct PendingChanges
    {
        /// VMs that send heartbeats and are on the platform's VM list.
        std::map<MemberId, Member> additions;
        /// Members that have announced that they leave, or that the VM list announces as leaving or
        /// omits. A member is never removed only because it sends no heartbeats.
        std::set<MemberId> removals;
    };

    explicit MemberList(const MembershipSettings &settings);

    /// Replaces the list by a newer one. Returns false if `record` is not newer.
    bool replaceIfNewer(const MemberRecord &record);
    const MemberRecord &record() const { return m_record; }
    Epoch epoch() const { return m_record.epoch; }
    bool contains(const MemberId &member) const { return m_record.members.count(member) > 0; }
    /// Returns the number of members that form a quorum.
    std::size_t quorum() const { return m_settings.quorum(m_record.members.size()); }
    /// Returns the index of a member in the sorted list, or nullopt if it is not in the list.
    std::optional<std::size_t> indexOf(const MemberId &member) const;
    /// Returns all members as candidates for owning backend servers.
    std::vector<RendezvousHash::Candidate> candidates() const;

    /// Returns the next list, which differs by one member. Returns nullopt if no change is pending
    /// or if `holders` is less than the quorum. `holders` is the number of members, including this
    /// one, that are known to have had the current list for the hold time.
    std::optional<MemberRecord> nextChange(const PendingChanges &pendingChanges,
                                           std::size_t holders) const;
    /// Returns the first list of a group, made from the VM list. There is no earlier list, so it
    /// may have any number of members.
    static MemberRecord first(const Member &self, const std::vector<VmRecord> &vms);

private:
    MembershipSettings m_settings;
    MemberRecord m_record;
};

} // namespace pimentoward
