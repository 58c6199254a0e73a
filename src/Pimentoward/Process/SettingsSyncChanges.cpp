// The part of SettingsSync that commits an operator's change and waits until it is accepted.

#include "Pimentoward/Process/SettingsSync.h"

#include <algorithm>

namespace pimentoward {

SettingsSync::PendingChange *SettingsSync::runningChange()
{
    return m_changes.empty() ? nullptr : &m_changes.front();
}

void SettingsSync::advanceChanges(SteadyTime now, SettingsActions &actions)
{
    while (!m_changes.empty() && advanceChange(m_changes.front(), now, actions)) { }
    // Changes that wait behind a slow one are also answered at their deadlines. They have not been
    // written yet.
    for (auto waiting = m_changes.begin(); waiting != m_changes.end();) {
        if (waiting == m_changes.begin() || now < waiting->deadline) {
            ++waiting;
            continue;
        }
        actions.emplace_back(AnswerChange {waiting->token, timeoutOutcome(*waiting), 0});
        waiting = m_changes.erase(waiting);
    }
}

/// Returns true if the change has ended, so that the next one can begin.
bool SettingsSync::advanceChange(PendingChange &pending, SteadyTime now, SettingsActions &actions)
{
    if (pending.stage == Stage::Propagating && isAccepted(pending, now)) {
        answer({}, now, actions);
        return true;
    }
    if (now >= pending.deadline) {
        answer(timeoutOutcome(pending), now, actions);
        return true;
    }
    if (pending.stage == Stage::Reading && pending.call == 0 && now >= pending.nextCallAt) {
        pending.call = newCallId();
        actions.emplace_back(ReadSettings {pending.call});
    }
    return false;
}

void SettingsSync::onChangeRead(PendingChange &pending, const std::optional<StoredValue> &stored,
                                SteadyTime now, SettingsActions &actions)
{
    const bool mayBeWritten = pending.unsure || pending.conflicted;
    Reason reason {ResultCode::StoreUnavailable,
                   "the platform's store does not answer; nothing was changed"};
    std::optional<SettingsDocument> read;
    if (stored) {
        read = stored->revision == 0 ? SettingsDocument()
                                     : SettingsDocument::parse(stored->value, reason);
    }
    if (!read) {
        pending.nextCallAt = now + m_settings.storeRetryDelay;
        if (!mayBeWritten) {
            answer(reason, now, actions);
        }
        return;
    }
    applyStored(*stored, false, actions);
    // If the store has lost the settings, the change is based on the ones in force, so that its
    // write restores them.
    const SettingsDocument &base = read->revision < revision() ? *m_document : *read;
    if (base.contains(pending.change.changeId)) {
        const auto record = std::find_if(
            base.recentChanges.begin(), base.recentChanges.end(),
            [&](const auto &entry) { return entry.changeId == pending.change.changeId; });
        markCommitted(pending,
                      record == base.recentChanges.end() ? base.revision : record->revision);
        pushToOthers(actions);
        actions.emplace_back(RecordHistory {m_document});
        return;
    }
    if (mayBeWritten && stored->revision != pending.expectedKeyRevision) {
        handleConflict(pending, base, now, actions);
        return;
    }
    if (!pending.unsure) {
        const auto next = pending.change.applyTo(base, pending.at, reason);
        if (!next) {
            answer(reason, now, actions);
            return;
        }
        pending.written = std::make_shared<const SettingsDocument>(*next);
        pending.expectedKeyRevision = stored->revision;
    }
    // A write of unknown outcome that is not visible in the store may still take effect. Writing
    // the same document again, with the same expected revision of the key, lets at most one of the
    // two writes take effect.
    write(pending, actions);
}

/// Handles a change that can no longer take effect because another write has changed the key.
void SettingsSync::handleConflict(PendingChange &pending, const SettingsDocument &base,
                                  SteadyTime now, SettingsActions &actions)
{
    if (!m_settings.refusesConflicts) {
        pending.change.expectedRevision = base.revision;
        pending.unsure = false;
        pending.conflicted = false;
        pending.nextCallAt = now;
        return;
    }
    const Revision nextRevision = pending.change.expectedRevision + 1;
    const bool listsNextRevision
        = std::any_of(base.recentChanges.begin(), base.recentChanges.end(),
                      [&](const auto &record) { return record.revision == nextRevision; });
    if (!listsNextRevision && pending.unsure) {
        answer({ResultCode::UnsureWrite,
                "the platform's store has not confirmed the write and many changes have been made "
                "since; look for change "
                    + pending.change.changeId + " in the history"},
               now, actions);
        return;
    }
    answer({ResultCode::RevisionConflict,
            "another change was made first and revision " + std::to_string(base.revision)
                + " is in force; nothing was changed; read the settings again"},
           now, actions);
}

void SettingsSync::write(PendingChange &pending, SettingsActions &actions)
{
    pending.stage = Stage::Writing;
    pending.call = newCallId();
    actions.emplace_back(
        WriteSettings {pending.call, pending.expectedKeyRevision, pending.written->toJson()});
}

void SettingsSync::markCommitted(PendingChange &pending, Revision revision)
{
    pending.stage = Stage::Propagating;
    pending.committedRevision = revision;
}

bool SettingsSync::isAccepted(PendingChange &pending, SteadyTime now) const
{
    if (!m_settings.waitsForMembers) {
        return true;
    }
    std::size_t holders = 0;
    for (const MemberId &member : m_members) {
        const auto peer = m_peers.find(member);
        const bool peerHolds = peer != m_peers.end() && peer->second.ready
            && peer->second.revision >= pending.committedRevision;
        const bool selfHolds = member == m_settings.self && revision() >= pending.committedRevision;
        holders += peerHolds || selfHolds ? 1 : 0;
    }
    if (!pending.heldByMajoritySince && 2 * holders > m_members.size()) {
        pending.heldByMajoritySince = now;
    }
    if (!pending.heldByMajoritySince) {
        return false;
    }
    const Duration maxServingTime
        = m_settings.contactTime + m_settings.catchUpTime + m_settings.clockMargin;
    const bool allMembersHold
        = holders == m_members.size() && allPeersHold(pending.committedRevision, now);
    return allMembersHold || now - *pending.heldByMajoritySince > maxServingTime;
}

/// Returns true if no VM can be serving without the revision: the member list has been unchanged
/// for the settle time, and every VM heard from within that time holds the revision, whether it is
/// a member or not.
bool SettingsSync::allPeersHold(Revision revision, SteadyTime now) const
{
    if (!m_settings.waitsForUnknownMembers) {
        return true;
    }
    const SteadyTime settledSince = now - m_settings.memberListSettleTime;
    return m_membersSince <= settledSince
        && std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
               const Peer &peer = entry.second;
               return peer.lastReportAt < settledSince || (peer.ready && peer.revision >= revision);
           });
}

Reason SettingsSync::timeoutOutcome(const PendingChange &pending) const
{
    if (pending.stage == Stage::Propagating) {
        return {ResultCode::CommittedNotInForce,
                "the change is committed as revision " + std::to_string(pending.committedRevision)
                    + ", but it is not certain yet that it is in force on every VM that serves; it "
                      "will come into force on the other VMs when they are reachable again"};
    }
    if (pending.unsure || pending.stage == Stage::Writing) {
        return {ResultCode::UnsureWrite,
                "the platform's store has not confirmed whether the change took effect; look for "
                "change "
                    + pending.change.changeId + " later, or repeat it with the same id"};
    }
    if (pending.conflicted) {
        return {ResultCode::RevisionConflict, "another change was made first; nothing was changed"};
    }
    return {ResultCode::StoreUnavailable,
            "the change was not written in time, because the platform's store does not answer or "
            "earlier changes on this VM took too long; nothing was changed"};
}

void SettingsSync::answer(const Reason &outcome, SteadyTime now, SettingsActions &actions)
{
    const PendingChange ended = std::move(m_changes.front());
    m_changes.pop_front();
    actions.emplace_back(AnswerChange {ended.token, outcome, ended.committedRevision});
    if (!m_changes.empty()) {
        m_changes.front().nextCallAt = now;
    }
}

} // namespace pimentoward
