#pragma once

#include "Pimentoward/Process/MembershipSettings.h"
#include "Pimentoward/Process/RendezvousHash.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace pimentoward {

/// Decides which backend servers this member requests, owns and hands over. GrantTable is the
/// counterpart on the granting members.
class OwnershipDecision
{
public:
    /// Information about the members and their work that the decision depends on.
    struct Peers
    {
        /// True if the member appears able to own backend servers. Also called for this member.
        std::function<bool(const MemberId &)> isAlive;
        /// True if the member has been alive long enough to receive a handover.
        std::function<bool(const MemberId &)> isStable;
        /// True if the newest heartbeat of the member requests the backend server.
        std::function<bool(const MemberId &, const BackendServerId &)> hasRequested;
        /// True if the backend server is processing no work of this member.
        std::function<bool(const BackendServerId &)> isIdle;
        /// True if this member is leaving: it hands over all backend servers that it owns.
        bool isSelfLeaving = false;
    };

    OwnershipDecision(const MembershipSettings &settings, MemberId self);

    /// Sets the members of the group, which determine ranking and quorum.
    void updateMembers(const std::vector<RendezvousHash::Candidate> &members);
    /// Sets the backend servers that the members own, each with its failure domain.
    void updateBackendServers(const std::map<BackendServerId, FailureDomain> &servers);
    /// Records grants of `granter` for this member's heartbeat `sequence`, which was sent at
    /// `sentAt`.
    void onGrants(const MemberId &granter, std::uint64_t sequence, SteadyTime sentAt,
                  const std::vector<BackendServerId> &granted);
    /// Removes the grants of `granter`. Must be called when a new run of it is detected, because
    /// that run has granted nothing yet.
    void removeGranter(const MemberId &granter);
    /// Decides again. Heartbeats from `nextSequence` on carry the result. Returns true if the set
    /// of requested backend servers has changed.
    bool decide(const Peers &peers, std::uint64_t nextSequence, SteadyTime now);

    /// Returns the requested backend servers, sorted.
    std::vector<BackendServerId> requested() const;
    /// Returns until when this member may dispatch to the backend server; a time in the past if it
    /// may not.
    SteadyTime ownedUntil(const BackendServerId &id) const;
    /// Returns the backend servers owned at `now`, and until when this member may dispatch to each.
    std::map<BackendServerId, SteadyTime> owned(SteadyTime now) const;
    /// Returns the members in order of preference; empty for an unknown backend server.
    const std::vector<MemberId> &ranking(const BackendServerId &id) const;
    /// Returns the index of the member in the ranking, or the length of the ranking if it does not
    /// contain the member.
    std::size_t rankOf(const BackendServerId &id, const MemberId &member) const;
    /// Returns all known backend servers.
    std::vector<BackendServerId> servers() const;
    /// True while this member requests, owns or hands over any backend server.
    bool holdsBackendServers() const;

private:
    struct Entry
    {
        FailureDomain failureDomain;
        std::vector<MemberId> ranking;
        bool isRequesting = false;
        /// Sequence of the first heartbeat that carries the current request.
        std::uint64_t firstRequestSequence = 0;
        /// When the request started or last had the grants of a quorum.
        SteadyTime requestedSince {};
        /// No request is made before this time.
        SteadyTime pausedUntil {};
        /// True if this member has stopped dispatching for a handover. It keeps requesting the
        /// backend server until its work there has ended.
        bool handingOver = false;
        /// Time by which the work dispatched before the handover has ended in any case.
        SteadyTime drainedAt {};
        /// End of the permission as last decided. Only this value is published. A permission that
        /// starts and ends between two decisions therefore never takes effect; otherwise no release
        /// would wait for the work dispatched under it.
        SteadyTime permittedUntil {};
        /// Latest time at which this member may have dispatched to the backend server.
        SteadyTime dispatchedUntil {};
        /// For each granter, when this member sent the newest heartbeat that was answered with a
        /// grant.
        std::map<MemberId, SteadyTime> granted;
    };

    void updateRankings();
    /// Returns until when the current grants of a quorum permit dispatching.
    SteadyTime grantedUntil(const Entry &entry) const;
    /// Continues or ends a request. Returns true if it ended.
    bool updateRequest(const BackendServerId &id, Entry &entry, const Peers &peers,
                       SteadyTime now) const;
    /// True if this member should start to request the backend server.
    bool shouldRequest(const Entry &entry, const Peers &peers, SteadyTime now) const;
    /// True if another member should own the backend server instead of this one.
    bool shouldHandOver(const BackendServerId &id, const Entry &entry, const Peers &peers) const;
    /// Ends the request and drops its grants. Always returns true.
    bool stopRequesting(Entry &entry) const;

    MembershipSettings m_settings;
    MemberId m_self;
    std::vector<RendezvousHash::Candidate> m_members;
    std::map<BackendServerId, Entry> m_entries;
};

} // namespace pimentoward
