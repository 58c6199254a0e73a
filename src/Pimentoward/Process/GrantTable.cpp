#include "Pimentoward/Process/GrantTable.h"

#include <algorithm>
#include <utility>

namespace pimentoward {

GrantTable::GrantTable(const MembershipSettings &settings, SteadyTime startedAt, RankHook rank)
    : m_settings(settings)
    , m_startedAt(startedAt)
    , m_waitsAfterRestart(settings.waitsAfterRestart)
    , m_rank(std::move(rank))
{ }

bool GrantTable::canGrant(SteadyTime now) const
{
    return !m_waitsAfterRestart || now >= m_startedAt + m_settings.holdTime();
}

void GrantTable::grantTo(Entry &entry, const GrantRequest &request, SteadyTime now)
{
    entry.holder = Holder {request, now + m_settings.holdTime()};
    entry.pending.erase(request.owner);
    m_newlyGranted.insert(request.owner);
}

void GrantTable::onGrantRequests(const GrantRequest &request,
                                 const std::vector<BackendServerId> &requested, SteadyTime now)
{
    for (auto &[id, entry] : m_entries) {
        const bool isRequested = std::binary_search(requested.begin(), requested.end(), id);
        if (isRequested) {
            continue;
        }
        entry.pending.erase(request.owner);
        // The run that holds the grant no longer requests the backend server. It has stopped
        // dispatching, so the backend server can be granted to another member at once.
        if (entry.holder && entry.holder->request.owner == request.owner
            && entry.holder->request.incarnation == request.incarnation) {
            entry.holder.reset();
            grantToBestRequester(id, entry, now);
        }
    }
    for (const BackendServerId &id : requested) {
        Entry &entry = m_entries[id];
        const bool holds = entry.holder && entry.holder->request.owner == request.owner
            && entry.holder->request.incarnation == request.incarnation;
        if (holds) {
            entry.holder->request.sequence = request.sequence;
            entry.holder->heldUntil = now + m_settings.holdTime();
            continue;
        }
        entry.pending[request.owner] = {request, now};
        grantToBestRequester(id, entry, now);
    }
}

void GrantTable::onNewIncarnation(const MemberId &owner, SteadyTime now)
{
    for (auto &[id, entry] : m_entries) {
        entry.pending.erase(owner);
        if (entry.holder && entry.holder->request.owner == owner) {
            entry.holder->heldUntil
                = std::min(entry.holder->heldUntil, now + m_settings.dispatchDrainTime());
        }
    }
}

void GrantTable::onTimer(SteadyTime now)
{
    for (auto &[id, entry] : m_entries) {
        if (!entry.pending.empty()) {
            grantToBestRequester(id, entry, now);
        }
    }
}

void GrantTable::grantToBestRequester(const BackendServerId &id, Entry &entry, SteadyTime now)
{
    const bool isHeld = entry.holder && now < entry.holder->heldUntil;
    if (isHeld || !canGrant(now)) {
        return;
    }
    const PendingRequest *best = nullptr;
    for (const auto &[member, candidate] : entry.pending) {
        // A request lapses if its sender has not repeated it within the heartbeat timeout.
        const bool isFresh = now < candidate.receivedAt + m_settings.heartbeatTimeout;
        if (isFresh && (best == nullptr || m_rank(id, member) < m_rank(id, best->request.owner))) {
            best = &candidate;
        }
    }
    if (best != nullptr) {
        grantTo(entry, GrantRequest(best->request), now);
    }
}

std::set<MemberId> GrantTable::takeNewlyGranted()
{
    return std::exchange(m_newlyGranted, {});
}

std::vector<BackendServerId> GrantTable::grantsFor(const GrantRequest &echoed) const
{
    std::vector<BackendServerId> result;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.holder || entry.holder->request.owner != echoed.owner) {
            continue;
        }
        const GrantRequest &held = entry.holder->request;
        // The hold time counts from the last requesting heartbeat, so only the echo of that
        // heartbeat may carry the grant.
        const bool isSame
            = held.incarnation == echoed.incarnation && held.sequence == echoed.sequence;
        if (isSame || !m_settings.needsRequestingHeartbeat) {
            result.push_back(id);
        }
    }
    return result;
}

std::size_t GrantTable::grantedCount(SteadyTime now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [now](const auto &item) {
            return item.second.holder && now < item.second.holder->heldUntil;
        }));
}

} // namespace pimentoward
