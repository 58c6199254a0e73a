#include "Pimentoward/Process/MembershipPeers.h"

#include <algorithm>
#include <bitset>

namespace pimentoward {

namespace {

constexpr std::size_t maskBits = 64;

bool hasBit(std::uint64_t mask, std::size_t index)
{
    return index < maskBits && ((mask >> index) & 1U) != 0;
}

} // namespace

MembershipPeers::MembershipPeers(const MembershipSettings &settings, MemberId self)
    : m_settings(settings)
    , m_self(std::move(self))
{ }

MembershipPeers::Arrival MembershipPeers::onHeartbeat(const Heartbeat &heartbeat,
                                                      std::optional<SteadyTime> echoSentAt,
                                                      SteadyTime now)
{
    const auto known = m_peers.find(heartbeat.from);
    const bool isNewRun
        = known == m_peers.end() || known->second.incarnation != heartbeat.incarnation;
    if (known != m_peers.end()) {
        const bool isProvenNewer = echoSentAt && *echoSentAt > known->second.heardAt;
        if (isNewRun ? !isProvenNewer : heartbeat.sequence <= known->second.lastSequence) {
            return Arrival::Stale;
        }
    }
    Peer &peer = m_peers[heartbeat.from];
    if (isNewRun) {
        peer = {};
        peer.incarnation = heartbeat.incarnation;
    }
    if (isNewRun || peer.epoch != heartbeat.epoch) {
        peer.epochSince = now;
    }
    peer.lastSequence = heartbeat.sequence;
    peer.heardAt = now;
    peer.epoch = heartbeat.epoch;
    peer.settingsRevision = heartbeat.settingsRevision;
    peer.contactMask = heartbeat.contactMask;
    peer.ready = heartbeat.ready;
    peer.leaving = heartbeat.leaving;
    if (heartbeat.serversReadable) {
        peer.owned = heartbeat.owned;
        peer.requested = heartbeat.requested;
    }
    return isNewRun ? Arrival::NewRun : Arrival::SameRun;
}

void MembershipPeers::refresh(const MemberList &list, std::optional<std::uint64_t> ownMask,
                              SteadyTime now)
{
    // For each member, the number of members that report recent round trips with it.
    std::vector<std::size_t> contacts(list.record().members.size(), 0);
    const auto countMask = [&contacts](std::uint64_t mask) {
        for (std::size_t index = 0; index < contacts.size(); ++index) {
            contacts[index] += hasBit(mask, index) ? 1 : 0;
        }
    };
    countMask(ownMask.value_or(0));
    for (const auto &[id, peer] : m_peers) {
        if (list.contains(id) && peer.epoch == list.epoch() && isHeard(id, now)) {
            countMask(peer.contactMask);
        }
    }
    std::size_t index = 0;
    for (const auto &[id, member] : list.record().members) {
        const bool alive
            = id == m_self ? ownMask.has_value() : appearsAlive(list, id, contacts[index], now);
        if (alive) {
            m_aliveSince.emplace(id, now);
        } else {
            m_aliveSince.erase(id);
        }
        ++index;
    }
}

bool MembershipPeers::appearsAlive(const MemberList &list, const MemberId &member,
                                   std::size_t contacts, SteadyTime now) const
{
    const Peer *peer = find(member);
    if (peer == nullptr || !peer->ready || peer->leaving) {
        return false;
    }
    if (isHeard(member, now)) {
        const std::size_t contactCount = std::bitset<maskBits>(peer->contactMask).count();
        return peer->epoch != list.epoch() || contactCount >= list.quorum();
    }
    // This process receives no heartbeats from the member. If others that form a quorum together
    // with the member have recent round trips with it, only its connection to this process has
    // failed.
    return contacts + 1 >= list.quorum() && contacts > 0;
}

const MembershipPeers::Peer *MembershipPeers::find(const MemberId &member) const
{
    const auto found = m_peers.find(member);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool MembershipPeers::isHeard(const MemberId &member, SteadyTime now) const
{
    const Peer *peer = find(member);
    return peer != nullptr && now < peer->heardAt + m_settings.heartbeatTimeout;
}

bool MembershipPeers::isStable(const MemberId &member, SteadyTime now) const
{
    const auto found = m_aliveSince.find(member);
    return found != m_aliveSince.end() && now >= found->second + m_settings.stableTime;
}

bool MembershipPeers::hasRequested(const MemberId &member, const BackendServerId &id) const
{
    const Peer *peer = find(member);
    return peer != nullptr
        && std::binary_search(peer->requested.begin(), peer->requested.end(), id);
}

std::size_t MembershipPeers::countHolders(const MemberList &list, Duration time,
                                          SteadyTime now) const
{
    std::size_t holders = 0;
    for (const auto &[id, peer] : m_peers) {
        const bool holds = id != m_self && list.contains(id) && peer.epoch == list.epoch()
            && isHeard(id, now) && now >= peer.epochSince + time;
        holders += holds ? 1 : 0;
    }
    return holders;
}

} // namespace pimentoward
