#pragma once

#include "Pimentoward/Process/MembershipSettings.h"

#include <map>
#include <set>

namespace pimentoward {

/// Determines until when this process may accept and dispatch new work. It may while a quorum of
/// the members, including itself, has echoed heartbeats that it sent within the contact time,
/// measured by its own clock.
class QuorumContact
{
public:
    QuorumContact(const MembershipSettings &settings, MemberId self);

    /// Sets the members of the group. Echoes of other members do not count.
    void updateMembers(const std::set<MemberId> &members);
    /// Records that `peer` echoed a heartbeat that this process sent at `sentAt`.
    void onEcho(const MemberId &peer, SteadyTime sentAt);
    /// Removes the echoes of `peer`. Must be called when a new run of it is detected, because that
    /// run has echoed nothing yet.
    void removeEchoes(const MemberId &peer);
    /// Returns the end of the current permission; a time in the past if there is none.
    SteadyTime contactUntil(SteadyTime now) const;
    /// Returns when the newest heartbeat that `peer` has echoed was sent; a default SteadyTime if
    /// there is none.
    SteadyTime lastEcho(const MemberId &peer) const;

private:
    MembershipSettings m_settings;
    MemberId m_self;
    std::set<MemberId> m_members;
    std::map<MemberId, SteadyTime> m_echoes;
};

} // namespace pimentoward
