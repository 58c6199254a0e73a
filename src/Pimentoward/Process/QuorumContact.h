#pragma once

#include "Pimentoward/Process/MembershipSettings.h"

#include <map>
#include <set>

namespace pimentoward {

/// Until when this process may take on and dispatch new work: more than half of the members,
/// itself counted, have echoed a heartbeat that it sent within the contact time of its own clock.
class QuorumContact
{
public:
    QuorumContact(const MembershipSettings &settings, MemberId self);

    /// Echoes of former members no longer count.
    void updateMembers(const std::set<MemberId> &members);
    /// `peer` has echoed a heartbeat that this process sent at `sentAt`.
    void onEcho(const MemberId &peer, SteadyTime sentAt);
    /// A new run of `peer` has echoed nothing yet.
    void forget(const MemberId &peer);
    /// End of the present permission; in the past where there is none.
    SteadyTime contactUntil(SteadyTime now) const;
    /// Sending time of the newest heartbeat that `peer` has echoed; the clock's start if none.
    SteadyTime lastEcho(const MemberId &peer) const;

private:
    MembershipSettings m_settings;
    MemberId m_self;
    std::set<MemberId> m_members;
    std::map<MemberId, SteadyTime> m_echoes;
};

} // namespace pimentoward
