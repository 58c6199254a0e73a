#pragma once

#include "Pimentoward/Process/SettingsChange.h"
#include "Pimentoward/Process/SettingsSyncActions.h"
#include "Pimentoward/Process/SettingsSyncSettings.h"
#include "Pimentoward/Process/Store.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace pimentoward {

/// Decides how a VM keeps the operators' settings in step: which document is in force, when it has
/// caught up after a start, when it must stop for lack of a newer one, and how a change is
/// committed and accepted. No input or output; messages and the time in, actions out.
///
/// A change is accepted once it is committed in the store, more than half of the members hold it,
/// and each of the others holds it or must have stopped. A VM serves only while more than half of
/// the members have echoed, without telling of a newer revision, a heartbeat that it sent within
/// the contact time and the catch-up time. Since any two majorities share a member, a VM that
/// lacks a revision stops within these times after more than half hold it, also when it was
/// frozen or cut off and comes back.
class SettingsSync
{
public:
    explicit SettingsSync(const SettingsSyncSettings &settings);

    /// The members of the current epoch, this VM among them.
    SettingsActions updateMembers(std::vector<MemberId> members, SteadyTime now);
    /// A heartbeat came in.
    SettingsActions onReport(const SettingsReport &report, SteadyTime now);
    /// A member sent its document.
    SettingsActions onDocument(const SettingsDocument &document, SteadyTime now);
    /// A member asks for the document.
    SettingsActions onDocumentRequest(const MemberId &from) const;
    /// A read or watch ended; nothing where it failed.
    SettingsActions onRead(StoreCallId call, const std::optional<StoredValue> &stored,
                           SteadyTime now);
    /// A write ended.
    SettingsActions onWrite(StoreCallId call, const WriteOutcome &outcome, SteadyTime now);
    /// An operator's change. `wallNow` goes into the history. The answer carries `token`.
    SettingsActions change(const SettingsChange &change, ChangeToken token, SteadyTime now,
                           WallTime wallNow);
    /// To be called every 100 ms or so, and first of all.
    SettingsActions tick(SteadyTime now);

    /// The document in force. Never null.
    const std::shared_ptr<const SettingsDocument> &document() const { return m_document; }
    Revision revision() const { return m_document->revision; }
    /// Why the store's settings cannot be used; code Ok where they can, or were not read.
    const Reason &problem() const { return m_problem; }
    /// True once this run has caught up. Before, the VM neither serves nor echoes heartbeats.
    bool isReady() const { return m_ready; }
    /// True where this VM may take on new work, as far as settings go.
    bool mayServe(SteadyTime now) const { return now < serveUntil(now); }
    /// End of the time for which mayServe() is true as things stand; in the past where it is not.
    /// A process that was frozen must not serve past the time that it was told before.
    SteadyTime serveUntil(SteadyTime now) const;
    /// True where this VM is one of those that watch the store.
    bool isWatcher(SteadyTime now) const;

private:
    struct Peer
    {
        Revision revision = 0;
        bool ready = false;
        /// True where `revision` was reported since this run began.
        bool hasEchoedThisRun = false;
        /// When this VM sent the newest heartbeat whose echo told of no newer revision.
        SteadyTime confirmedAt = SteadyTime::min();
        SteadyTime lastReportAt {};
    };

    enum class Stage { Reading, Writing, Propagating };

    struct PendingChange
    {
        SettingsChange change;
        ChangeToken token = 0;
        SteadyTime deadline {};
        WallTime at {};
        Stage stage = Stage::Reading;
        /// The running store call, or 0.
        StoreCallId call = 0;
        SteadyTime nextCallAt {};
        /// What was written last, and at which revision of the key.
        std::shared_ptr<const SettingsDocument> written;
        Revision expectedKeyRevision = 0;
        /// True where a write may have taken effect or may still do so.
        bool unsure = false;
        /// True where the store said that another value stands there.
        bool conflicted = false;
        /// Revision that the change made, once it is known to be committed.
        Revision committedRevision = 0;
        std::optional<SteadyTime> heldByMajoritySince;
    };

    /// The latest time at which no newer revision was held by more than half of the members.
    SteadyTime majorityConfirmedAt(SteadyTime now) const;
    StoreCallId newCallId() { return ++m_lastCall; }
    bool applyDocument(const std::shared_ptr<const SettingsDocument> &document);
    void applyStored(const StoredValue &stored, bool fromWatch, SettingsActions &actions);
    void catchUp(SteadyTime now, SettingsActions &actions);
    void watch(SteadyTime now, SettingsActions &actions);
    void pushToOthers(SettingsActions &actions) const;
    void updateReadiness();
    void advanceChanges(SteadyTime now, SettingsActions &actions);
    bool advanceChange(PendingChange &pending, SteadyTime now, SettingsActions &actions);
    void onChangeRead(PendingChange &pending, const std::optional<StoredValue> &stored,
                      SteadyTime now, SettingsActions &actions);
    void handleConflict(PendingChange &pending, const SettingsDocument &base, SteadyTime now,
                        SettingsActions &actions);
    void write(PendingChange &pending, SettingsActions &actions);
    void markCommitted(PendingChange &pending, Revision revision);
    bool isAccepted(PendingChange &pending, SteadyTime now) const;
    bool allPeersHold(Revision revision, SteadyTime now) const;
    Reason timeoutOutcome(const PendingChange &pending) const;
    void answer(const Reason &outcome, SteadyTime now, SettingsActions &actions);
    PendingChange *runningChange();

    SettingsSyncSettings m_settings;
    std::shared_ptr<const SettingsDocument> m_document;
    /// The settings key's revision that was seen last.
    Revision m_keyRevision = 0;
    Reason m_problem;
    std::vector<MemberId> m_members;
    /// Since when this run has known this member list.
    SteadyTime m_membersSince {};
    std::map<MemberId, Peer> m_peers;
    bool m_ready = false;
    Revision m_maxKnownRevision = 0;
    /// Since when a newer revision is known to exist.
    std::optional<SteadyTime> m_behindSince;
    SteadyTime m_nextRequestAt {};
    std::size_t m_requestCount = 0;
    StoreCallId m_lastCall = 0;
    StoreCallId m_catchUpCall = 0;
    SteadyTime m_nextCatchUpAt {};
    StoreCallId m_watchCall = 0;
    SteadyTime m_nextWatchAt {};
    /// The first one runs, the others wait.
    std::deque<PendingChange> m_changes;
};

} // namespace pimentoward
