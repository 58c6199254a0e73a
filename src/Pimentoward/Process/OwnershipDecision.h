#pragma once

#include "Pimentoward/Process/MembershipSettings.h"
#include "Pimentoward/Process/RendezvousHash.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace pimentoward {

/// The owner's side: which backend servers this member asks for, owns and hands over.
class OwnershipDecision
{
public:
    /// What the decision reads of the other members.
    struct Peers
    {
        /// Looks able to own; this member itself included.
        std::function<bool(const MemberId &)> isAlive;
        /// Has looked alive long enough to be handed something.
        std::function<bool(const MemberId &)> isStable;
        /// Asks for the backend server in its newest heartbeat.
        std::function<bool(const MemberId &, const BackendServerId &)> hasRequested;
        /// No work of this member is at the backend server.
        std::function<bool(const BackendServerId &)> isIdle;
        /// This member is leaving: it hands over all that it owns.
        bool isSelfLeaving = false;
    };

    OwnershipDecision(const MembershipSettings &settings, MemberId self);

    void updateMembers(const std::vector<RendezvousHash::Candidate> &members);
    /// Backend servers to share out, each with its failure domain.
    void updateBackendServers(const std::map<BackendServerId, FailureDomain> &servers);
    /// Grants of `granter` on behalf of this member's heartbeat `sequence`, sent at `sentAt`.
    void onGrants(const MemberId &granter, std::uint64_t sequence, SteadyTime sentAt,
                  const std::vector<BackendServerId> &granted);
    /// A new run of `granter` has granted nothing.
    void forgetGranter(const MemberId &granter);
    /// Decides anew; heartbeats from `nextSequence` on carry the result. True where what is asked
    /// for has changed.
    bool decide(const Peers &peers, std::uint64_t nextSequence, SteadyTime now);

    /// Backend servers asked for, sorted.
    std::vector<BackendServerId> requested() const;
    /// Until when this member may dispatch to the backend server; in the past where it may not.
    SteadyTime ownedUntil(const BackendServerId &id) const;
    /// All that is owned at `now`, with its end.
    std::map<BackendServerId, SteadyTime> owned(SteadyTime now) const;
    /// Members in the order of preference; empty for an unknown backend server.
    const std::vector<MemberId> &ranking(const BackendServerId &id) const;
    /// Place in the ranking, or the number of members where it has none.
    std::size_t rankOf(const BackendServerId &id, const MemberId &member) const;
    /// Backend servers known.
    std::vector<BackendServerId> servers() const;
    /// True while this member asks for or hands over anything.
    bool holdsBackendServers() const;

private:
    struct Entry
    {
        FailureDomain failureDomain;
        std::vector<MemberId> ranking;
        bool isRequesting = false;
        /// First heartbeat of the present asking.
        std::uint64_t firstRequestSequence = 0;
        SteadyTime requestedSince {};
        SteadyTime pausedUntil {};
        /// Stopped dispatching; asks on until its work there has ended.
        bool handingOver = false;
        SteadyTime drainedAt {};
        /// End of the permission as decided last. Only this is ever published, so that no
        /// permission comes and goes between two decisions without its last work being waited for.
        SteadyTime permittedUntil {};
        /// Latest time at which this member may have dispatched.
        SteadyTime dispatchedUntil {};
        /// Sending time of the newest heartbeat that each member has granted.
        std::map<MemberId, SteadyTime> granted;
    };

    void rankAll();
    /// End of what the present grants permit.
    SteadyTime grantedUntil(const Entry &entry) const;
    bool updateRequest(const BackendServerId &id, Entry &entry, const Peers &peers,
                       SteadyTime now) const;
    bool shouldRequest(const Entry &entry, const Peers &peers, SteadyTime now) const;
    bool shouldHandOver(const BackendServerId &id, const Entry &entry, const Peers &peers) const;
    bool stopRequesting(Entry &entry) const;

    MembershipSettings m_settings;
    MemberId m_self;
    std::vector<RendezvousHash::Candidate> m_members;
    std::map<BackendServerId, Entry> m_entries;
};

} // namespace pimentoward
