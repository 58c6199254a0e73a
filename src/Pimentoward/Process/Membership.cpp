#include "Pimentoward/Process/Membership.h"

#include <algorithm>
#include <utility>

namespace pimentoward {

namespace {

std::set<MemberId> idsOf(const MemberRecord &record)
{
    std::set<MemberId> ids;
    for (const auto &[id, member] : record.members) {
        ids.insert(id);
    }
    return ids;
}

} // namespace

Membership::Membership(const MembershipSettings &settings, const Member &self,
                       Incarnation incarnation, SteadyTime startedAt)
    : m_settings(settings)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_list(settings)
    , m_peers(settings, self.id)
    , m_contact(settings, self.id)
    , m_ownership(settings, self.id)
    , m_grants(settings, startedAt, [this](const BackendServerId &id, const MemberId &member) {
        return m_ownership.rankOf(id, member);
    })
{ }

void Membership::updateBackendServers(const std::map<BackendServerId, FailureDomain> &servers)
{
    m_ownership.updateBackendServers(servers);
}

void Membership::updateSettings(Revision revision, bool isNewest)
{
    m_settingsRevision = revision;
    m_settingsAreNewest = isNewest;
}

void Membership::onListAbsent()
{
    if (m_list.epoch() == 0) {
        m_grants.setWaitsAfterRestart(false);
    }
}

void Membership::onStoredList(const MemberRecord &record, SteadyTime now)
{
    m_listIsNewest = true;
    onMemberList(record, now);
}

void Membership::onMemberList(const MemberRecord &record, SteadyTime now)
{
    if (!m_list.replaceIfNewer(record)) {
        return;
    }
    m_listSince = now;
    // An epoch above the first shows that the group is not new: the store had lost the list, and
    // earlier runs of this member may have made grants.
    constexpr Epoch firstEpoch = 1;
    if (record.epoch > firstEpoch) {
        m_grants.setWaitsAfterRestart(m_settings.waitsAfterRestart);
    }
    m_contact.updateMembers(idsOf(m_list.record()));
    m_ownership.updateMembers(m_list.candidates());
    m_urgentAll = true;
}

void Membership::onVmList(const std::vector<VmRecord> &vms)
{
    m_vmList.update(vms, m_list);
    if (m_vmList.isLeaving(m_self.id)) {
        leave();
    }
}

void Membership::leave()
{
    m_urgentAll |= !m_leaving;
    m_leaving = true;
}

Membership::Actions Membership::onHeartbeat(const Heartbeat &heartbeat, SteadyTime now)
{
    const bool echoesThisRun = heartbeat.echo && heartbeat.echo->incarnation == m_incarnation;
    const auto echoSentAt = echoesThisRun ? m_sent.sentAt(heartbeat.echo->sequence) : std::nullopt;
    const auto arrival = m_peers.onHeartbeat(heartbeat, echoSentAt, now);
    if (arrival == MembershipPeers::Arrival::Stale) {
        return {};
    }
    if (arrival == MembershipPeers::Arrival::NewRun) {
        m_contact.removeEchoes(heartbeat.from);
        m_ownership.removeGranter(heartbeat.from);
        m_grants.onNewIncarnation(heartbeat.from, now);
        m_urgentPeers.insert(heartbeat.from);
    }
    Actions actions;
    if (heartbeat.epoch < m_list.epoch()) {
        actions.push_back(SendMemberList {heartbeat.from, m_list.record()});
    }
    restoreContact(heartbeat);
    recordReadiness(heartbeat);
    applyEcho(heartbeat, echoSentAt, now);
    applyGrantRequests(heartbeat, now);
    decideAndGrant(now);
    for (Action &action : sendDue(now)) {
        actions.push_back(std::move(action));
    }
    return actions;
}

void Membership::restoreContact(const Heartbeat &heartbeat)
{
    // If the sender has had no recent round trip with this member, an immediate echo restores its
    // contact half a heartbeat period earlier.
    const auto index = m_list.indexOf(m_self.id);
    const bool lacksRoundTrip = heartbeat.epoch == m_list.epoch() && index
        && ((heartbeat.contactMask >> *index) & 1U) == 0;
    if (lacksRoundTrip) {
        m_urgentPeers.insert(heartbeat.from);
    }
}

void Membership::recordReadiness(const Heartbeat &heartbeat)
{
    if (m_listIsNewest) {
        return;
    }
    // Only a heartbeat sent after this run began shows the current state of its sender.
    const bool isFresh = heartbeat.echo && heartbeat.echo->incarnation == m_incarnation;
    if (heartbeat.ready && isFresh) {
        m_readyPeers.insert(heartbeat.from);
        m_newestEpochHeard = std::max(m_newestEpochHeard, heartbeat.epoch);
    }
    std::size_t heard = 0;
    for (const MemberId &member : m_readyPeers) {
        heard += m_list.contains(member) && member != m_self.id ? 1 : 0;
    }
    const bool hasQuorum = heard >= m_list.quorum();
    m_listIsNewest = m_list.epoch() > 0 && m_list.epoch() >= m_newestEpochHeard
        && (hasQuorum || !m_settings.waitsForNewestList);
}

void Membership::applyEcho(const Heartbeat &heartbeat, std::optional<SteadyTime> echoSentAt,
                           SteadyTime now)
{
    // A member with a newer list does not count: majorities two changes apart need not overlap.
    const bool counts = isReady() && heartbeat.ready && m_list.contains(heartbeat.from)
        && heartbeat.epoch <= m_list.epoch();
    if (!counts) {
        return;
    }
    if (!m_settings.needsRoundTrip) {
        m_contact.onEcho(heartbeat.from, now);
        m_ownership.onGrants(heartbeat.from, m_sequence, now, heartbeat.granted);
        return;
    }
    if (echoSentAt) {
        m_contact.onEcho(heartbeat.from, *echoSentAt);
        m_ownership.onGrants(heartbeat.from, heartbeat.echo->sequence, *echoSentAt,
                             heartbeat.granted);
    }
}

void Membership::applyGrantRequests(const Heartbeat &heartbeat, SteadyTime now)
{
    const bool counts = isReady() && heartbeat.ready && m_list.contains(heartbeat.from)
        && heartbeat.serversReadable;
    if (counts) {
        m_grants.onGrantRequests({heartbeat.from, heartbeat.incarnation, heartbeat.sequence},
                                 heartbeat.requested, now);
    }
}

void Membership::decideAndGrant(SteadyTime now)
{
    if (!isReady() || !m_list.contains(m_self.id)) {
        return;
    }
    const bool hasContact = now < m_contact.contactUntil(now);
    m_peers.refresh(
        m_list, hasContact && !m_leaving ? std::optional(ownContactMask(now)) : std::nullopt, now);
    // The first call makes own grants count at once; the second withdraws those that were released.
    applyOwnGrantRequests(now);
    decide(now);
    applyOwnGrantRequests(now);
    m_grants.onTimer(now);
    for (const MemberId &owner : m_grants.takeNewlyGranted()) {
        m_urgentPeers.insert(owner);
    }
}

void Membership::decide(SteadyTime now)
{
    OwnershipDecision::Peers peers;
    peers.isAlive = [this](const MemberId &member) { return m_peers.isAlive(member); };
    peers.isStable = [this, now](const MemberId &member) { return m_peers.isStable(member, now); };
    peers.hasRequested = [this](const MemberId &member, const BackendServerId &id) {
        return m_peers.hasRequested(member, id);
    };
    peers.isIdle = m_isIdle;
    peers.isSelfLeaving = m_leaving;
    m_urgentAll |= m_ownership.decide(peers, m_sequence + 1, now);
}

void Membership::applyOwnGrantRequests(SteadyTime now)
{
    // This member is one of its own granters; its heartbeat to itself takes no time.
    const GrantTable::GrantRequest request {m_self.id, m_incarnation, m_sequence + 1};
    m_grants.onGrantRequests(request, m_ownership.requested(), now);
    m_ownership.onGrants(m_self.id, request.sequence, now, m_grants.grantsFor(request));
}

Membership::Actions Membership::tick(SteadyTime now)
{
    m_sent.removeBefore(now - m_settings.contactTime);
    decideAndGrant(now);
    return sendDue(now);
}

std::set<MemberId> Membership::receivers(SteadyTime now) const
{
    std::set<MemberId> result = idsOf(m_list.record());
    // Includes VMs that are joining, and members of a list that this process does not know yet.
    for (const auto &[id, peer] : m_peers.all()) {
        if (m_peers.isHeard(id, now)) {
            result.insert(id);
        }
    }
    for (const auto &[id, vm] : m_vmList.vms()) {
        result.insert(id);
    }
    result.erase(m_self.id);
    return result;
}

Membership::Actions Membership::sendDue(SteadyTime now)
{
    Actions actions;
    const bool isIntervalOver = now >= m_lastSent + m_settings.minUrgentInterval;
    if (now >= m_nextHeartbeat || (m_urgentAll && isIntervalOver)) {
        // A late call delays later heartbeats by no more than its own delay.
        m_nextHeartbeat = now + m_settings.heartbeatPeriod;
        m_urgentAll = false;
        m_urgentPeers.clear();
        for (const MemberId &peer : receivers(now)) {
            send(peer, now, actions);
        }
    } else if (!m_urgentPeers.empty() && isIntervalOver) {
        for (const MemberId &peer : std::exchange(m_urgentPeers, {})) {
            if (peer != m_self.id) {
                send(peer, now, actions);
            }
        }
    }
    return actions;
}

void Membership::send(const MemberId &peer, SteadyTime now, Actions &actions)
{
    ++m_sequence;
    m_sent.record(m_sequence, now);
    m_lastSent = now;
    actions.push_back(SendHeartbeat {peer, heartbeatTo(peer, now)});
}

Heartbeat Membership::heartbeatTo(const MemberId &peer, SteadyTime now) const
{
    Heartbeat heartbeat;
    heartbeat.from = m_self.id;
    heartbeat.incarnation = m_incarnation;
    heartbeat.sequence = m_sequence;
    heartbeat.epoch = m_list.epoch();
    heartbeat.settingsRevision = m_settingsRevision;
    heartbeat.ready = isReady();
    heartbeat.leaving = m_leaving;
    heartbeat.contactMask = ownContactMask(now);
    for (const auto &[id, until] : m_ownership.owned(now)) {
        heartbeat.owned.push_back(id);
    }
    heartbeat.requested = m_ownership.requested();
    if (const MembershipPeers::Peer *known = m_peers.find(peer)) {
        heartbeat.echo = HeartbeatEcho {known->incarnation, known->lastSequence};
        // A member that does not have the newest list or settings grants nothing.
        if (isReady()) {
            heartbeat.granted = m_grants.grantsFor({peer, known->incarnation, known->lastSequence});
        }
    }
    return heartbeat;
}

std::uint64_t Membership::ownContactMask(SteadyTime now) const
{
    std::uint64_t mask = 0;
    std::size_t index = 0;
    for (const auto &[id, member] : m_list.record().members) {
        const bool hasRoundTrip
            = id == m_self.id || now < m_contact.lastEcho(id) + m_settings.heartbeatTimeout;
        mask |= hasRoundTrip ? std::uint64_t {1} << index : 0;
        ++index;
    }
    return mask;
}

SteadyTime Membership::contactUntil(SteadyTime now) const
{
    return isReady() ? m_contact.contactUntil(now) : SteadyTime {};
}

std::map<BackendServerId, SteadyTime> Membership::ownedUntil(SteadyTime now) const
{
    if (now >= contactUntil(now)) {
        return {};
    }
    return m_ownership.owned(now);
}

std::map<BackendServerId, MemberId> Membership::owners(SteadyTime now) const
{
    std::map<BackendServerId, MemberId> result;
    for (const BackendServerId &id : m_ownership.servers()) {
        const auto &ranking = m_ownership.ranking(id);
        const auto alive
            = std::find_if(ranking.begin(), ranking.end(),
                           [this](const MemberId &member) { return m_peers.isAlive(member); });
        if (alive != ranking.end()) {
            result[id] = *alive;
        }
    }
    // A member that reports ownership takes precedence over the expected owner.
    for (const auto &[member, peer] : m_peers.all()) {
        if (m_peers.isHeard(member, now) && m_list.contains(member)) {
            for (const BackendServerId &id : peer.owned) {
                result[id] = member;
            }
        }
    }
    for (const auto &[id, until] : m_ownership.owned(now)) {
        result[id] = m_self.id;
    }
    return result;
}

std::size_t Membership::unownedCount(SteadyTime now) const
{
    std::set<BackendServerId> unowned;
    for (const BackendServerId &id : m_ownership.servers()) {
        unowned.insert(id);
    }
    for (const auto &[member, peer] : m_peers.all()) {
        if (m_peers.isHeard(member, now)) {
            for (const BackendServerId &id : peer.owned) {
                unowned.erase(id);
            }
        }
    }
    for (const auto &[id, until] : m_ownership.owned(now)) {
        unowned.erase(id);
    }
    return unowned.size();
}

std::size_t Membership::indexAmongAlive() const
{
    std::size_t index = 0;
    for (const auto &[id, member] : m_list.record().members) {
        if (id == m_self.id) {
            return m_peers.isAlive(id) ? index : m_list.record().members.size();
        }
        index += m_peers.isAlive(id) ? 1 : 0;
    }
    return m_list.record().members.size();
}

bool Membership::isWatcher() const
{
    constexpr std::size_t watcherCount = 2;
    return indexAmongAlive() < watcherCount;
}

std::optional<MemberRecord> Membership::proposedChange(SteadyTime now) const
{
    if (!isReady() || m_leaving || now >= m_contact.contactUntil(now) || indexAmongAlive() != 0) {
        return std::nullopt;
    }
    const Duration minTime = m_settings.waitsBetweenChanges ? m_settings.holdTime() : Duration {};
    const bool selfHolds = now >= m_listSince + minTime;
    const std::size_t holders = m_peers.countHolders(m_list, minTime, now) + (selfHolds ? 1 : 0);
    return m_list.nextChange(m_vmList.pendingChanges(m_self.id, m_list, m_peers, now), holders);
}

} // namespace pimentoward
