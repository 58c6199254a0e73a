#include "Pimentoward/Process/GrantTable.h"

#include <algorithm>
#include <utility>

namespace pimentoward {

GrantTable::GrantTable(const MembershipSettings &settings, SteadyTime startedAt, RankHook rank)
    : m_settings(settings)
    , m_startedAt(startedAt)
    , m_waits(settings.waitsAfterRestart)
    , m_rank(std::move(rank))
{ }

bool GrantTable::mayGrant(SteadyTime now) const
{
    return !m_waits || now >= m_startedAt + m_settings.holdTime();
}

void GrantTable::give(Entry &entry, const Ask &ask, SteadyTime now)
{
    entry.holder = Holder {ask, now + m_settings.holdTime()};
    entry.waiting.erase(ask.owner);
    m_newlyGranted.insert(ask.owner);
}

void GrantTable::onAsks(const Ask &ask, const std::vector<BackendServerId> &asked, SteadyTime now)
{
    for (auto &[id, entry] : m_entries) {
        const bool asks = std::binary_search(asked.begin(), asked.end(), id);
        if (asks) {
            continue;
        }
        entry.waiting.erase(ask.owner);
        // The same run asks no longer: it has stopped dispatching, so the server is free at once.
        if (entry.holder && entry.holder->ask.owner == ask.owner
            && entry.holder->ask.incarnation == ask.incarnation) {
            entry.holder.reset();
            giveToBestWaiter(id, entry, now);
        }
    }
    for (const BackendServerId &id : asked) {
        Entry &entry = m_entries[id];
        const bool holds = entry.holder && entry.holder->ask.owner == ask.owner
            && entry.holder->ask.incarnation == ask.incarnation;
        if (holds) {
            entry.holder->ask.sequence = ask.sequence;
            entry.holder->keptUntil = now + m_settings.holdTime();
            continue;
        }
        entry.waiting[ask.owner] = {ask, now};
        giveToBestWaiter(id, entry, now);
    }
}

void GrantTable::onNewIncarnation(const MemberId &owner, SteadyTime now)
{
    for (auto &[id, entry] : m_entries) {
        entry.waiting.erase(owner);
        if (entry.holder && entry.holder->ask.owner == owner) {
            entry.holder->keptUntil
                = std::min(entry.holder->keptUntil, now + m_settings.lastWorkTime());
        }
    }
}

void GrantTable::onTimer(SteadyTime now)
{
    for (auto &[id, entry] : m_entries) {
        if (!entry.waiting.empty()) {
            giveToBestWaiter(id, entry, now);
        }
    }
}

void GrantTable::giveToBestWaiter(const BackendServerId &id, Entry &entry, SteadyTime now)
{
    const bool isHeld = entry.holder && now < entry.holder->keptUntil;
    if (isHeld || !mayGrant(now)) {
        return;
    }
    const Waiter *best = nullptr;
    for (const auto &[member, waiter] : entry.waiting) {
        // An ask that is not repeated has lapsed with its sender's silence.
        const bool isFresh = now < waiter.askedAt + m_settings.silenceTime;
        if (isFresh && (best == nullptr || m_rank(id, member) < m_rank(id, best->ask.owner))) {
            best = &waiter;
        }
    }
    if (best != nullptr) {
        give(entry, Ask(best->ask), now);
    }
}

std::set<MemberId> GrantTable::takeNewlyGranted()
{
    return std::exchange(m_newlyGranted, {});
}

std::vector<BackendServerId> GrantTable::grantsFor(const Ask &echoed) const
{
    std::vector<BackendServerId> result;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.holder || entry.holder->ask.owner != echoed.owner) {
            continue;
        }
        const Ask &held = entry.holder->ask;
        // The hold time runs from the last asking heartbeat: only its own echo may carry the grant.
        const bool isSame
            = held.incarnation == echoed.incarnation && held.sequence == echoed.sequence;
        if (isSame || !m_settings.needsAskingHeartbeat) {
            result.push_back(id);
        }
    }
    return result;
}

std::size_t GrantTable::grantedCount(SteadyTime now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [now](const auto &item) {
            return item.second.holder && now < item.second.holder->keptUntil;
        }));
}

} // namespace pimentoward
