#include "Pimentoward/Process/QuorumContact.h"

#include <algorithm>
#include <vector>

namespace pimentoward {

QuorumContact::QuorumContact(const MembershipSettings &settings, MemberId self)
    : m_settings(settings)
    , m_self(std::move(self))
{ }

void QuorumContact::updateMembers(const std::set<MemberId> &members)
{
    m_members = members;
}

void QuorumContact::onEcho(const MemberId &peer, SteadyTime sentAt)
{
    SteadyTime &last = m_echoes[peer];
    last = std::max(last, sentAt);
}

void QuorumContact::removeEchoes(const MemberId &peer)
{
    m_echoes.erase(peer);
}

SteadyTime QuorumContact::contactUntil(SteadyTime now) const
{
    if (m_members.count(m_self) == 0) {
        return {};
    }
    const std::size_t needed = m_settings.quorum(m_members.size());
    std::vector<SteadyTime> times {now};
    for (const MemberId &member : m_members) {
        if (member != m_self) {
            times.push_back(lastEcho(member));
        }
    }
    // The quorum is valid only as long as the oldest echo that it needs.
    std::sort(times.begin(), times.end(), std::greater<>());
    const SteadyTime oldest = times[needed - 1];
    return oldest == SteadyTime {} ? SteadyTime {} : oldest + m_settings.contactTime;
}

SteadyTime QuorumContact::lastEcho(const MemberId &peer) const
{
    const auto found = m_echoes.find(peer);
    return found == m_echoes.end() ? SteadyTime {} : found->second;
}

} // namespace pimentoward
