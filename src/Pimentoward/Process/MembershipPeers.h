#pragma once

#include "Pimentoward/Process/Heartbeat.h"
#include "Pimentoward/Process/MemberList.h"
#include "Pimentoward/Process/MembershipSettings.h"

#include <map>
#include <optional>

namespace pimentoward {

/// What the other members have told of late, and who of them looks able to own backend servers.
/// Guesses only: they steer who asks, never who may dispatch.
class MembershipPeers
{
public:
    struct Peer
    {
        Incarnation incarnation = 0;
        std::uint64_t lastSequence = 0;
        SteadyTime heardAt {};
        Epoch epoch = 0;
        /// Since when this run has told that epoch.
        SteadyTime epochSince {};
        Revision settingsRevision = 0;
        std::uint64_t contactMask = 0;
        bool ready = false;
        bool leaving = false;
        std::vector<BackendServerId> owned;
        std::vector<BackendServerId> requested;
    };
    enum class Arrival {
        /// Older than what is known: to be ignored.
        Stale,
        SameRun,
        NewRun
    };

    MembershipPeers(const MembershipSettings &settings, MemberId self);

    /// Takes a heartbeat in. `echoSentAt`: when this process sent the heartbeat that it echoes.
    /// Another run than the known one must echo what was sent after the known one was last heard; a
    /// late message of an earlier run cannot.
    Arrival onHeartbeat(const Heartbeat &heartbeat, std::optional<SteadyTime> echoSentAt,
                        SteadyTime now);
    /// Guesses anew who is alive. `ownMask` is this member's own contact mask, or nothing while it
    /// has no contact or is leaving.
    void refresh(const MemberList &list, std::optional<std::uint64_t> ownMask, SteadyTime now);

    const std::map<MemberId, Peer> &all() const { return m_peers; }
    /// The peer, or nullptr where it has not been heard.
    const Peer *find(const MemberId &member) const;
    bool isHeard(const MemberId &member, SteadyTime now) const;
    bool isAlive(const MemberId &member) const { return m_aliveSince.count(member) > 0; }
    bool isStable(const MemberId &member, SteadyTime now) const;
    bool hasRequested(const MemberId &member, const BackendServerId &id) const;
    /// Members other than this one that are heard and have told `epoch` for at least `time`.
    std::size_t countHolders(const MemberList &list, Duration time, SteadyTime now) const;

private:
    bool looksAlive(const MemberList &list, const MemberId &member, std::size_t contacts,
                    SteadyTime now) const;

    MembershipSettings m_settings;
    MemberId m_self;
    std::map<MemberId, Peer> m_peers;
    std::map<MemberId, SteadyTime> m_aliveSince;
};

} // namespace pimentoward
