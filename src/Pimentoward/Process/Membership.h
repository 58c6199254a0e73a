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

/// State and decisions of one member of a group: combines the member list, quorum contact, grants
/// and ownership. Its methods receive messages and the time, and return messages to send. The class
/// does no input or output.
class Membership
{
public:
    /// Send the heartbeat to one member.
    struct SendHeartbeat
    {
        MemberId to;
        Heartbeat heartbeat;
    };
    /// Send the member list to one member whose list is older.
    struct SendMemberList
    {
        MemberId to;
        MemberRecord record;
    };
    using Action = std::variant<SendHeartbeat, SendMemberList>;
    using Actions = std::vector<Action>;
    /// Returns true if the backend server is processing no work of this member.
    using IdleHook = std::function<bool(const BackendServerId &)>;

    /// `incarnation` must differ from that of every earlier run of this VM.
    Membership(const MembershipSettings &settings, const Member &self, Incarnation incarnation,
               SteadyTime startedAt);

    /// Sets the backend servers that the members own, each with its failure domain.
    void updateBackendServers(const std::map<BackendServerId, FailureDomain> &servers);
    /// Sets the settings revision in use, and whether it is known to be the newest accepted one.
    void updateSettings(Revision revision, bool isNewest);
    /// Without this hook, every handover waits for the maximum dispatch time.
    void setIdleHook(IdleHook hook) { m_isIdle = std::move(hook); }

    /// Must be called when the store holds no member list. Unless a list of a later epoch shows
    /// that the store has lost one, no run of any member has ever been ready, so there are no
    /// earlier grants to wait for.
    void onListAbsent();
    /// Processes a member list that was just read from or written to the store.
    void onStoredList(const MemberRecord &record, SteadyTime now);
    /// Processes the platform's VM list, as just read.
    void onVmList(const std::vector<VmRecord> &vms);
    /// Processes a member list received from a peer.
    void onMemberList(const MemberRecord &record, SteadyTime now);
    /// Processes a heartbeat and returns the messages that are due.
    Actions onHeartbeat(const Heartbeat &heartbeat, SteadyTime now);
    /// Decides again and returns the messages that are due. Must be called every few tens of
    /// milliseconds and after each pause of the process.
    Actions tick(SteadyTime now);
    /// Starts leaving the group: this member hands over all backend servers that it owns.
    void leave();

    /// Returns the member list that this member should write to the store now, if any.
    std::optional<MemberRecord> proposedChange(SteadyTime now) const;

    /// True once the newest member list and settings are known.
    bool isReady() const { return m_listIsNewest && m_settingsAreNewest; }
    /// True once the newest member list is known.
    bool knowsNewestList() const { return m_listIsNewest; }
    /// Returns the time until which this member may accept new work; a time in the past if it may
    /// not.
    SteadyTime contactUntil(SteadyTime now) const;
    /// Returns the owned backend servers and until when this member may dispatch to each.
    std::map<BackendServerId, SteadyTime> ownedUntil(SteadyTime now) const;
    /// Returns the most likely owner of each backend server.
    std::map<BackendServerId, MemberId> owners(SteadyTime now) const;
    /// Returns the number of backend servers without a known owner.
    std::size_t unownedCount(SteadyTime now) const;
    /// True if this member is one of the first two alive members of the list. These read the
    /// platform's VM list more often than the other members.
    bool isWatcher() const;
    /// True while this member requests, owns or hands over any backend server.
    bool holdsBackendServers() const { return m_ownership.holdsBackendServers(); }
    bool isLeaving() const { return m_leaving; }

    /// Returns the platform's VM list as last read.
    const std::map<MemberId, VmRecord> &vms() const { return m_vmList.vms(); }
    const MemberList &list() const { return m_list; }
    const MembershipPeers &peers() const { return m_peers; }
    const QuorumContact &contact() const { return m_contact; }
    const GrantTable &grants() const { return m_grants; }

private:
    /// Schedules an immediate echo if the sender has had no recent round trip with this member.
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
    HeartbeatLog m_sent;
    MemberList m_list;
    /// When this process adopted the current list.
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
    /// Ready peers that have echoed a heartbeat of this run while the newest list was not yet
    /// known.
    std::set<MemberId> m_readyPeers;
    Epoch m_newestEpochHeard = 0;
    MembershipVmList m_vmList;
    SteadyTime m_nextHeartbeat {};
    SteadyTime m_lastSent {};
    /// True if heartbeats to all receivers are due before the next period.
    bool m_urgentAll = false;
    /// Peers to which a heartbeat is due before the next period.
    std::set<MemberId> m_urgentPeers;
};

} // namespace pimentoward
