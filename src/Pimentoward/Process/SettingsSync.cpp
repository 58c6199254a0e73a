#include "Pimentoward/Process/SettingsSync.h"

#include "Pimentoward/Process/RendezvousHash.h"

#include <algorithm>

namespace pimentoward {

namespace {

constexpr const char *watcherKey = "settings";

std::shared_ptr<const SettingsDocument> parseStored(const StoredValue &stored, Reason &reason)
{
    if (stored.revision == 0) {
        return std::make_shared<const SettingsDocument>();
    }
    auto document = SettingsDocument::parse(stored.value, reason);
    return document ? std::make_shared<const SettingsDocument>(std::move(*document)) : nullptr;
}

} // namespace

SettingsSync::SettingsSync(const SettingsSyncSettings &settings)
    : m_settings(settings)
    , m_document(std::make_shared<const SettingsDocument>())
    , m_ready(!settings.catchesUpAtStart)
{ }

SettingsActions SettingsSync::updateMembers(std::vector<MemberId> members, SteadyTime now)
{
    if (members != m_members) {
        m_members = std::move(members);
        m_membersSince = now;
    }
    return tick(now);
}

SettingsActions SettingsSync::onReport(const SettingsReport &report, SteadyTime now)
{
    SettingsActions actions;
    Peer &peer = m_peers[report.from];
    peer.lastReportAt = now;
    peer.ready = report.ready;
    peer.revision = report.revision;
    if (report.echoedSentAt) {
        peer.hasEchoedThisRun = true;
        if (report.ready && report.revision <= revision()) {
            peer.confirmedAt = std::max(peer.confirmedAt, *report.echoedSentAt);
        }
    }
    if (report.revision > m_maxKnownRevision) {
        m_maxKnownRevision = report.revision;
        if (m_maxKnownRevision > revision() && !m_behindSince) {
            m_behindSince = now;
        }
        m_nextRequestAt = now;
    }
    updateReadiness();
    catchUp(now, actions);
    advanceChanges(now, actions);
    return actions;
}

SettingsActions SettingsSync::onDocument(const SettingsDocument &document, SteadyTime now)
{
    SettingsActions actions;
    applyDocument(std::make_shared<const SettingsDocument>(document));
    updateReadiness();
    advanceChanges(now, actions);
    return actions;
}

SettingsActions SettingsSync::onDocumentRequest(const MemberId &from) const
{
    return {PushSettings {from, m_document}};
}

SettingsActions SettingsSync::onRead(StoreCallId call, const std::optional<StoredValue> &stored,
                                     SteadyTime now)
{
    SettingsActions actions;
    if (call == m_catchUpCall) {
        m_catchUpCall = 0;
        m_nextCatchUpAt = now + m_settings.storeRetryDelay;
        if (stored) {
            applyStored(*stored, false, actions);
        }
    } else if (call == m_watchCall) {
        m_watchCall = 0;
        m_nextWatchAt = stored ? now : now + m_settings.storeRetryDelay;
        if (stored) {
            applyStored(*stored, true, actions);
        }
    } else if (PendingChange *pending = runningChange();
               pending != nullptr && pending->call == call) {
        pending->call = 0;
        onChangeRead(*pending, stored, now, actions);
    }
    const SettingsActions tickActions = tick(now);
    actions.insert(actions.end(), tickActions.begin(), tickActions.end());
    return actions;
}

SettingsActions SettingsSync::onWrite(StoreCallId call, const WriteOutcome &outcome, SteadyTime now)
{
    SettingsActions actions;
    PendingChange *pending = runningChange();
    if (pending == nullptr || pending->call != call) {
        return actions;
    }
    pending->call = 0;
    pending->stage = Stage::Reading;
    switch (outcome.status) {
    case WriteStatus::Committed:
        m_keyRevision = std::max(m_keyRevision, outcome.revision);
        applyDocument(pending->written);
        markCommitted(*pending, pending->written->revision);
        pushToOthers(actions);
        actions.emplace_back(RecordHistory {pending->written});
        break;
    case WriteStatus::Conflict:
        // The same change may have been committed through another VM, so its ID is looked up in the
        // stored document first.
        pending->conflicted = true;
        pending->nextCallAt = now;
        break;
    case WriteStatus::Unsure:
        pending->unsure = true;
        pending->nextCallAt = now + m_settings.storeRetryDelay;
        if (!m_settings.readsBackUnsureWrites) {
            answer({ResultCode::StoreUnavailable, "the platform's store does not answer"}, now,
                   actions);
        }
        break;
    case WriteStatus::Refused:
        pending->nextCallAt = now + m_settings.storeRetryDelay;
        if (!pending->unsure) {
            answer(
                {ResultCode::StoreUnavailable,
                 "the platform's store cannot be reached or refuses writes; nothing was changed"},
                now, actions);
        }
        break;
    }
    advanceChanges(now, actions);
    return actions;
}

SettingsActions SettingsSync::change(const SettingsChange &change, ChangeToken token,
                                     SteadyTime now, WallTime wallNow)
{
    SettingsActions actions;
    if (m_changes.size() >= m_settings.maxWaitingChanges) {
        actions.emplace_back(AnswerChange {
            token,
            {ResultCode::NotRunOverloaded,
             "too many changes are waiting on this VM; nothing was changed; try again later"},
            0});
        return actions;
    }
    PendingChange pending;
    pending.change = change;
    pending.token = token;
    pending.at = wallNow;
    pending.deadline = now + m_settings.changeTimeLimit;
    m_changes.push_back(std::move(pending));
    advanceChanges(now, actions);
    return actions;
}

SettingsActions SettingsSync::tick(SteadyTime now)
{
    SettingsActions actions;
    updateReadiness();
    catchUp(now, actions);
    watch(now, actions);
    advanceChanges(now, actions);
    return actions;
}

SteadyTime SettingsSync::serveUntil(SteadyTime now) const
{
    if (!m_ready) {
        return SteadyTime::min();
    }
    if (!m_settings.stopsWhenBehind) {
        return SteadyTime::max();
    }
    return majorityConfirmedAt(now) + m_settings.contactTime + m_settings.catchUpTime;
}

SteadyTime SettingsSync::majorityConfirmedAt(SteadyTime now) const
{
    std::vector<SteadyTime> times;
    for (const MemberId &member : m_members) {
        const auto peer = m_peers.find(member);
        if (member == m_settings.self) {
            times.push_back(now);
        } else if (peer != m_peers.end()) {
            times.push_back(peer->second.confirmedAt);
        }
    }
    const std::size_t majority = m_members.size() / 2 + 1;
    if (times.size() < majority) {
        return SteadyTime::min();
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[majority - 1];
}

bool SettingsSync::isWatcher(SteadyTime now) const
{
    std::vector<RendezvousHash::Candidate> candidates;
    for (const MemberId &member : m_members) {
        const auto peer = m_peers.find(member);
        const bool isInContact
            = peer != m_peers.end() && now - peer->second.lastReportAt <= m_settings.contactTime;
        if (member == m_settings.self || isInContact) {
            candidates.push_back({member, {}});
        }
    }
    const auto order = RendezvousHash::ranking(candidates, watcherKey, {});
    const auto end = order.begin()
        + static_cast<std::ptrdiff_t>(std::min(order.size(), m_settings.watcherCount));
    return std::find(order.begin(), end, m_settings.self) != end;
}

bool SettingsSync::applyDocument(const std::shared_ptr<const SettingsDocument> &document)
{
    if (document->revision <= revision() && m_settings.rejectsOlderRevisions) {
        return false;
    }
    m_document = document;
    m_maxKnownRevision = std::max(m_maxKnownRevision, document->revision);
    if (revision() >= m_maxKnownRevision) {
        m_behindSince.reset();
    }
    return true;
}

void SettingsSync::applyStored(const StoredValue &stored, bool fromWatch, SettingsActions &actions)
{
    m_problem = {};
    const auto document = parseStored(stored, m_problem);
    if (document == nullptr) {
        // Settings that cannot be parsed are not treated as absent: the document in force stays.
        return;
    }
    m_keyRevision = stored.revision;
    const bool isNewer = applyDocument(document);
    // The store holds every accepted revision, so a VM that has read it has caught up.
    m_ready = true;
    if (isNewer && fromWatch) {
        pushToOthers(actions);
    }
}

void SettingsSync::catchUp(SteadyTime now, SettingsActions &actions)
{
    const bool isBehind = m_maxKnownRevision > revision();
    if (isBehind && now >= m_nextRequestAt) {
        std::vector<MemberId> holders;
        for (const auto &[id, peer] : m_peers) {
            if (peer.revision > revision()) {
                holders.push_back(id);
            }
        }
        if (!holders.empty()) {
            actions.emplace_back(RequestSettings {holders[m_requestCount++ % holders.size()]});
        }
        m_nextRequestAt = now + m_settings.requestRetryDelay;
    }
    // The members that hold the newer document may be gone. If requests stay unanswered, the
    // document is therefore read from the store.
    const bool requestsUnanswered
        = isBehind && m_behindSince && now - *m_behindSince > 2 * m_settings.requestRetryDelay;
    if ((!m_ready || requestsUnanswered) && m_catchUpCall == 0 && now >= m_nextCatchUpAt) {
        m_catchUpCall = newCallId();
        actions.emplace_back(ReadSettings {m_catchUpCall});
    }
}

void SettingsSync::watch(SteadyTime now, SettingsActions &actions)
{
    if (m_ready && m_watchCall == 0 && now >= m_nextWatchAt && isWatcher(now)) {
        m_watchCall = newCallId();
        actions.emplace_back(WatchSettings {m_watchCall, m_keyRevision, m_settings.watchTimeout});
    }
}

void SettingsSync::pushToOthers(SettingsActions &actions) const
{
    for (const MemberId &member : m_members) {
        const auto peer = m_peers.find(member);
        const bool holdsDocument = peer != m_peers.end() && peer->second.revision >= revision();
        if (member != m_settings.self && !holdsDocument) {
            actions.emplace_back(PushSettings {member, m_document});
        }
    }
}

void SettingsSync::updateReadiness()
{
    if (m_ready) {
        return;
    }
    std::size_t readyPeers = 0;
    Revision maxRevision = 0;
    for (const MemberId &member : m_members) {
        const auto peer = m_peers.find(member);
        if (member != m_settings.self && peer != m_peers.end() && peer->second.hasEchoedThisRun
            && peer->second.ready) {
            ++readyPeers;
            maxRevision = std::max(maxRevision, peer->second.revision);
        }
    }
    // This VM is not counted: it may have held a newer revision before it was restarted.
    m_ready = 2 * readyPeers > m_members.size() && revision() >= maxRevision;
}

} // namespace pimentoward
