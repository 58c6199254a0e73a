#pragma once

#include "Pimentoward/Process/GrantTable.h"
#include "Pimentoward/Process/Heartbeat.h"
#include "Pimentoward/Process/HeartbeatLog.h"
#include "Pimentoward/Process/MemberList.h"
#include "Pimentoward/Process/MembershipPeers.h"
#include "Pimentoward/Process/MembershipVmList.h"
#include "Pimentoward/Process/OwnershipDecision.h"
#include "Pimentoward/Process/QuorumContact.h"

#include <functional>
#include <map>
#include <variant>
#include <vector>

namespace pimentoward {

/// One member of a group: combines the member list, quorum contact, what it grants and what it
/// owns. Messages and time go in, messages to others come out; it does no input or output.
class Membership
{
public:
    struct SendHeartbeat
    {
        MemberId to;
        Heartbeat heartbeat;
    };
    struct SendMemberList
    {
        MemberId to;
        MemberRecord record;
    };
    using Action = std::variant<SendHeartbeat, SendMemberList>;
    using Actions = std::vector<Action>;
    /// True where no work of this member is at the backend server.
    using IdleHook = std::function<bool(const BackendServerId &)>;

    /// `incarnation` differs from that of every earlier run of this VM.
    Membership(const MembershipSettings &settings, const Member &self, Incarnation incarnation,
               SteadyTime startedAt);

    /// Backend servers to share out, each with its failure domain.
    void updateBackendServers(const std::map<BackendServerId, FailureDomain> &servers);
    /// Settings revision held, and whether it is known to be the newest accepted one.
    void updateSettings(Revision revision, bool isNewest);
    /// Without it, a handover waits for the longest dispatch.
    void setIdleHook(IdleHook hook) { m_isIdle = std::move(hook); }

    /// The store holds no member list yet: no run of any member has ever been ready, so there is no
    /// earlier grant to wait for.
    void onListAbsent();
    /// The member list as just read from, or written to, the store.
    void onStoredList(const MemberRecord &record, SteadyTime now);
    /// The platform's VM list, as just read.
    void onVmList(const std::vector<VmRecord> &vms);
    /// A member list that a peer holds.
    void onMemberList(const MemberRecord &record, SteadyTime now);
    Actions onHeartbeat(const Heartbeat &heartbeat, SteadyTime now);
    /// To be called every few tens of milliseconds and after each gap in the process's running.
    Actions tick(SteadyTime now);
    /// This VM is leaving: it hands over all that it owns.
    void leave();

    /// The member list that this member should write to the store now, if any.
    std::optional<MemberRecord> proposedChange(SteadyTime now) const;

    /// True once the newest member list and settings are known.
    bool isReady() const { return m_listIsNewest && m_settingsAreNewest; }
    bool knowsNewestList() const { return m_listIsNewest; }
    /// New work may be taken on before this time.
    SteadyTime contactUntil(SteadyTime now) const;
    /// Backend servers owned, and until when this member may dispatch to them.
    std::map<BackendServerId, SteadyTime> ownedUntil(SteadyTime now) const;
    /// Best guess of each backend server's owner.
    std::map<BackendServerId, MemberId> owners(SteadyTime now) const;
    /// Backend servers that nobody is known to own.
    std::size_t unownedCount(SteadyTime now) const;
    /// True for the first two living members: they watch the platform for the others.
    bool isWatcher() const;
    /// True while this member leaves and still asks for or hands over something.
    bool holdsBackendServers() const { return m_ownership.holdsBackendServers(); }
    bool isLeaving() const { return m_leaving; }

    /// The platform's VM list as read last.
    const std::map<MemberId, VmRecord> &vms() const { return m_vmList.vms(); }
    const MemberList &list() const { return m_list; }
    const MembershipPeers &peers() const { return m_peers; }
    const QuorumContact &contact() const { return m_contact; }
    const GrantTable &grants() const { return m_grants; }

private:
    void restoreContact(const Heartbeat &heartbeat);
    void recordReadiness(const Heartbeat &heartbeat);
    void applyEcho(const Heartbeat &heartbeat, std::optional<SteadyTime> echoSentAt,
                   SteadyTime now);
    void applyGrantRequests(const Heartbeat &heartbeat, SteadyTime now);
    void decide(SteadyTime now);
    void decideAndGrant(SteadyTime now);
    void applyOwnGrantRequests(SteadyTime now);
    std::uint64_t ownContactMask(SteadyTime now) const;
    Heartbeat heartbeatTo(const MemberId &peer, SteadyTime now) const;
    void send(const MemberId &peer, SteadyTime now, Actions &actions);
    Actions sendDue(SteadyTime now);
    std::set<MemberId> receivers(SteadyTime now) const;
    std::size_t indexAmongAlive() const;

    MembershipSettings m_settings;
    Member m_self;
    Incarnation m_incarnation;
    std::uint64_t m_sequence = 0;
    HeartbeatLog m_sentHeartbeats;
    MemberList m_list;
    SteadyTime m_listSince {};
    MembershipPeers m_peers;
    QuorumContact m_contact;
    OwnershipDecision m_ownership;
    GrantTable m_grants;
    IdleHook m_isIdle = [](const BackendServerId &) { return false; };
    bool m_listIsNewest = false;
    bool m_settingsAreNewest = true;
    Revision m_settingsRevision = 0;
    bool m_leaving = false;
    /// Ready members that have echoed this run while it looked for the newest list.
    std::set<MemberId> m_readyPeers;
    Epoch m_newestEpochHeard = 0;
    MembershipVmList m_vmList;
    SteadyTime m_nextHeartbeat {};
    SteadyTime m_lastSent {};
    bool m_urgentAll = false;
    std::set<MemberId> m_urgentPeers;
};

} // namespace pimentoward
