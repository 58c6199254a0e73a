#include "Pimentoward/Process/OwnershipDecision.h"

#include <algorithm>

namespace pimentoward {

OwnershipDecision::OwnershipDecision(const MembershipSettings &settings, MemberId self)
    : m_settings(settings)
    , m_self(std::move(self))
{ }

void OwnershipDecision::updateMembers(const std::vector<RendezvousHash::Candidate> &members)
{
    m_members = members;
    updateRankings();
}

void OwnershipDecision::updateBackendServers(
    const std::map<BackendServerId, FailureDomain> &servers)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        entry = servers.count(entry->first) > 0 ? std::next(entry) : m_entries.erase(entry);
    }
    for (const auto &[id, failureDomain] : servers) {
        m_entries[id].failureDomain = failureDomain;
    }
    updateRankings();
}

void OwnershipDecision::updateRankings()
{
    for (auto &[id, entry] : m_entries) {
        entry.ranking = RendezvousHash::ranking(m_members, id, entry.failureDomain);
    }
}

void OwnershipDecision::onGrants(const MemberId &granter, std::uint64_t sequence, SteadyTime sentAt,
                                 const std::vector<BackendServerId> &granted)
{
    for (const BackendServerId &id : granted) {
        const auto found = m_entries.find(id);
        if (found == m_entries.end()) {
            continue;
        }
        Entry &entry = found->second;
        // A grant for a heartbeat that was sent before the request was paused has been released
        // during the pause.
        const bool isCurrentRequest = entry.isRequesting && sequence >= entry.firstRequestSequence;
        if (isCurrentRequest || !m_settings.needsRequestingHeartbeat) {
            SteadyTime &last = entry.granted[granter];
            last = std::max(last, sentAt);
        }
    }
}

void OwnershipDecision::removeGranter(const MemberId &granter)
{
    for (auto &[id, entry] : m_entries) {
        entry.granted.erase(granter);
    }
}

bool OwnershipDecision::decide(const Peers &peers, std::uint64_t nextSequence, SteadyTime now)
{
    bool changed = false;
    for (auto &[id, entry] : m_entries) {
        if (!m_settings.needsRequestingHeartbeat && !entry.isRequesting) {
            entry.permittedUntil = grantedUntil(entry);
        }
        if (entry.isRequesting) {
            changed |= updateRequest(id, entry, peers, now);
        } else if (shouldRequest(entry, peers, now)) {
            entry.isRequesting = true;
            entry.firstRequestSequence = nextSequence;
            entry.requestedSince = now;
            changed = true;
        }
    }
    return changed;
}

bool OwnershipDecision::shouldRequest(const Entry &entry, const Peers &peers, SteadyTime now) const
{
    if (peers.isSelfLeaving || now < entry.pausedUntil) {
        return false;
    }
    const auto first = std::find_if(entry.ranking.begin(), entry.ranking.end(), peers.isAlive);
    return first != entry.ranking.end() && *first == m_self;
}

bool OwnershipDecision::updateRequest(const BackendServerId &id, Entry &entry, const Peers &peers,
                                      SteadyTime now) const
{
    if (entry.handingOver) {
        const bool isDrained = now >= entry.drainedAt || peers.isIdle(id);
        return isDrained && stopRequesting(entry);
    }
    if (const SteadyTime until = grantedUntil(entry); now < until) {
        entry.requestedSince = now;
        entry.permittedUntil = until;
        entry.dispatchedUntil = until;
        if (shouldHandOver(id, entry, peers)) {
            // Dispatching stops at once. The request is withdrawn, which releases the grants, only
            // once the dispatched work has ended.
            entry.handingOver = true;
            entry.permittedUntil = {};
            entry.drainedAt = now + m_settings.dispatchDrainTime();
        }
        return false;
    }
    // The permission has ended, by time or by a new member list. A release waits until the last
    // dispatched work has ended.
    entry.permittedUntil = {};
    entry.dispatchedUntil = std::min(entry.dispatchedUntil, now);
    if (now < entry.dispatchedUntil + m_settings.dispatchDrainTime() && !peers.isIdle(id)) {
        return false;
    }
    const auto first = std::find_if(entry.ranking.begin(), entry.ranking.end(), peers.isAlive);
    const bool isOutranked = first != entry.ranking.end() && *first != m_self
        && rankOf(id, *first) < rankOf(id, m_self);
    if (isOutranked || peers.isSelfLeaving) {
        return stopRequesting(entry);
    }
    if (now >= entry.requestedSince + m_settings.grantRequestTimeout) {
        entry.pausedUntil = now
            + m_settings.grantRequestBackoff * static_cast<std::int64_t>(1 + rankOf(id, m_self));
        return stopRequesting(entry);
    }
    return false;
}

bool OwnershipDecision::shouldHandOver(const BackendServerId &id, const Entry &entry,
                                       const Peers &peers) const
{
    for (const MemberId &member : entry.ranking) {
        if (member == m_self && !peers.isSelfLeaving) {
            return false;
        }
        // The handover needs a member that requests the backend server; otherwise nobody would own
        // it afterwards.
        if (member != m_self && peers.isAlive(member) && peers.hasRequested(member, id)
            && (peers.isSelfLeaving || peers.isStable(member))) {
            return true;
        }
    }
    // A leaving member does not wait if no other member is alive.
    return peers.isSelfLeaving
        && std::none_of(entry.ranking.begin(), entry.ranking.end(), [&](const MemberId &member) {
               return member != m_self && peers.isAlive(member);
           });
}

bool OwnershipDecision::stopRequesting(Entry &entry) const
{
    entry.isRequesting = false;
    entry.handingOver = false;
    entry.permittedUntil = {};
    entry.granted.clear();
    return true;
}

SteadyTime OwnershipDecision::grantedUntil(const Entry &entry) const
{
    if (entry.handingOver || (!entry.isRequesting && m_settings.needsRequestingHeartbeat)) {
        return {};
    }
    std::vector<SteadyTime> times;
    for (const RendezvousHash::Candidate &member : m_members) {
        if (const auto found = entry.granted.find(member.id); found != entry.granted.end()) {
            times.push_back(found->second);
        }
    }
    const std::size_t needed = m_settings.quorum(m_members.size());
    if (m_members.empty() || times.size() < needed) {
        return {};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[needed - 1] + m_settings.contactTime;
}

std::vector<BackendServerId> OwnershipDecision::requested() const
{
    std::vector<BackendServerId> result;
    for (const auto &[id, entry] : m_entries) {
        if (entry.isRequesting) {
            result.push_back(id);
        }
    }
    return result;
}

SteadyTime OwnershipDecision::ownedUntil(const BackendServerId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? SteadyTime {} : found->second.permittedUntil;
}

std::map<BackendServerId, SteadyTime> OwnershipDecision::owned(SteadyTime now) const
{
    std::map<BackendServerId, SteadyTime> result;
    for (const auto &[id, entry] : m_entries) {
        if (const SteadyTime until = entry.permittedUntil; now < until) {
            result[id] = until;
        }
    }
    return result;
}

const std::vector<MemberId> &OwnershipDecision::ranking(const BackendServerId &id) const
{
    static const std::vector<MemberId> none;
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? none : found->second.ranking;
}

std::size_t OwnershipDecision::rankOf(const BackendServerId &id, const MemberId &member) const
{
    const std::vector<MemberId> &order = ranking(id);
    return static_cast<std::size_t>(
        std::distance(order.begin(), std::find(order.begin(), order.end(), member)));
}

std::vector<BackendServerId> OwnershipDecision::servers() const
{
    std::vector<BackendServerId> result;
    for (const auto &[id, entry] : m_entries) {
        result.push_back(id);
    }
    return result;
}

bool OwnershipDecision::holdsBackendServers() const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [](const auto &item) { return item.second.isRequesting; });
}

} // namespace pimentoward
