#pragma once

#include "Pimentoward/Process/Heartbeat.h"
#include "Pimentoward/Process/MemberList.h"
#include "Pimentoward/Process/MembershipSettings.h"

#include <map>
#include <optional>

namespace pimentoward {

/// Latest heartbeat contents of the other members, and which of them appear able to own backend
/// servers. These estimates only influence which member requests grants. They never decide which
/// member may dispatch.
class MembershipPeers
{
public:
    /// Contents of the newest heartbeat of one member.
    struct Peer
    {
        Incarnation incarnation = 0;
        std::uint64_t lastSequence = 0;
        /// When the newest heartbeat was received.
        SteadyTime heardAt {};
        Epoch epoch = 0;
        /// When a heartbeat of this run first carried the epoch.
        SteadyTime epochSince {};
        Revision settingsRevision = 0;
        std::uint64_t contactMask = 0;
        bool ready = false;
        bool leaving = false;
        std::vector<BackendServerId> owned;
        std::vector<BackendServerId> requested;
    };
    /// Classification of a received heartbeat.
    enum class Arrival {
        /// Not newer than the last heartbeat accepted; to be ignored.
        Stale,
        /// From the same run of the process as the last heartbeat accepted.
        SameRun,
        /// The first heartbeat from a run of the process.
        NewRun
    };

    MembershipPeers(const MembershipSettings &settings, MemberId self);

    /// Classifies a heartbeat and stores it unless it is stale. `echoSentAt` is when this process
    /// sent the heartbeat that `heartbeat` echoes. A heartbeat of a different run is accepted only
    /// if it echoes a heartbeat sent after the known run was last heard; a delayed message of an
    /// earlier run cannot do that.
    Arrival onHeartbeat(const Heartbeat &heartbeat, std::optional<SteadyTime> echoSentAt,
                        SteadyTime now);
    /// Estimates again which members are alive. `ownMask` is this member's own contact mask, or
    /// nullopt while it has no quorum contact or is leaving.
    void refresh(const MemberList &list, std::optional<std::uint64_t> ownMask, SteadyTime now);

    const std::map<MemberId, Peer> &all() const { return m_peers; }
    /// Returns the peer, or nullptr if no heartbeat was received from it.
    const Peer *find(const MemberId &member) const;
    /// True if a heartbeat was received from the member within the heartbeat timeout.
    bool isHeard(const MemberId &member, SteadyTime now) const;
    /// True if the member appeared able to own backend servers at the last refresh().
    bool isAlive(const MemberId &member) const { return m_aliveSince.count(member) > 0; }
    /// True if the member has been alive for the stable time.
    bool isStable(const MemberId &member, SteadyTime now) const;
    /// True if the newest heartbeat of the member requests the backend server.
    bool hasRequested(const MemberId &member, const BackendServerId &id) const;
    /// Returns how many other members of `list` are heard and have reported its epoch for at least
    /// `time`.
    std::size_t countHolders(const MemberList &list, Duration time, SteadyTime now) const;

private:
    /// True if another member appears able to own backend servers. `contacts` is the number of
    /// members that report recent round trips with it.
    bool appearsAlive(const MemberList &list, const MemberId &member, std::size_t contacts,
                      SteadyTime now) const;

    MembershipSettings m_settings;
    MemberId m_self;
    std::map<MemberId, Peer> m_peers;
    std::map<MemberId, SteadyTime> m_aliveSince;
};

} // namespace pimentoward
