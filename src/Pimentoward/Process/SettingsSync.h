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

/// Keeps a VM's copy of the operators' settings up to date. Decides which document is in force,
/// when the VM has caught up after a start, when it must stop serving because it lacks a newer
/// document, and how a change is committed and accepted. It does no input or output itself:
/// messages and the time are passed in, and the actions to take are returned.
///
/// A change is accepted once it is committed in the store, more than half of the members hold it,
/// and each of the others either holds it or must have stopped serving. A VM serves only while more
/// than half of the members (counting itself) have echoed a heartbeat that it sent within the last
/// contact time plus catch-up time, without reporting a newer revision. Any two majorities share a
/// member. Therefore a VM that lacks a revision stops serving within that time after more than half
/// of the members hold it, even if it was frozen or cut off from the others in between.
class SettingsSync
{
public:
    explicit SettingsSync(const SettingsSyncSettings &settings);

    /// Sets the members of the current epoch, which include this VM.
    SettingsActions updateMembers(std::vector<MemberId> members, SteadyTime now);
    /// Handles what a received heartbeat reports about its sender's settings.
    SettingsActions onReport(const SettingsReport &report, SteadyTime now);
    /// Handles a document that a member sent.
    SettingsActions onDocument(const SettingsDocument &document, SteadyTime now);
    /// Handles a member's request for the document in force.
    SettingsActions onDocumentRequest(const MemberId &from) const;
    /// Handles the result of a read or watch; `stored` is nullopt if it failed.
    SettingsActions onRead(StoreCallId call, const std::optional<StoredValue> &stored,
                           SteadyTime now);
    /// Handles the outcome of a write.
    SettingsActions onWrite(StoreCallId call, const WriteOutcome &outcome, SteadyTime now);
    /// Starts an operator's change, or queues it behind the running one. `wallNow` becomes the time
    /// in its history record. The AnswerChange action that ends the change has the same `token`.
    SettingsActions change(const SettingsChange &change, ChangeToken token, SteadyTime now,
                           WallTime wallNow);
    /// Returns the actions that are due at `now`. Must be called at least every 100 ms, starting
    /// right after construction.
    SettingsActions tick(SteadyTime now);

    /// The document in force. Never null.
    const std::shared_ptr<const SettingsDocument> &document() const { return m_document; }
    Revision revision() const { return m_document->revision; }
    /// Why the settings in the store cannot be used. The code is Ok if they can be used or have not
    /// been read yet.
    const Reason &problem() const { return m_problem; }
    /// True once this process has caught up with the accepted settings. Until then the VM does
    /// not serve, and its echoes of heartbeats do not count.
    bool isReady() const { return m_ready; }
    /// True if the state of the settings allows this VM to accept new work.
    bool mayServe(SteadyTime now) const { return now < serveUntil(now); }
    /// Returns the time until which mayServe() stays true without further input; a time in the
    /// past if it is false now. After a freeze, a process must not serve beyond the time that was
    /// returned before the freeze.
    SteadyTime serveUntil(SteadyTime now) const;
    /// True if this VM is one of the members that watch the settings in the store.
    bool isWatcher(SteadyTime now) const;

private:
    struct Peer
    {
        Revision revision = 0;
        bool ready = false;
        /// True once the peer has echoed a heartbeat that this process sent, so that its reports
        /// are known to be newer than the start of this process.
        bool hasEchoedThisRun = false;
        /// Send time of this VM's newest heartbeat that the peer echoed while it was ready and
        /// reported no newer revision.
        SteadyTime confirmedAt = SteadyTime::min();
        SteadyTime lastReportAt {};
    };

    /// Steps of a change: reading the key, writing it, waiting until the members hold the change.
    enum class Stage { Reading, Writing, Propagating };

    struct PendingChange
    {
        SettingsChange change;
        ChangeToken token = 0;
        SteadyTime deadline {};
        WallTime at {};
        Stage stage = Stage::Reading;
        /// ID of the store call in progress, or 0.
        StoreCallId call = 0;
        SteadyTime nextCallAt {};
        /// The document that was written last, and the key's revision that the write expected.
        std::shared_ptr<const SettingsDocument> written;
        Revision expectedKeyRevision = 0;
        /// True if a write of unknown outcome may have taken effect or may still do so.
        bool unsure = false;
        /// True if the store rejected a write because the key had another revision.
        bool conflicted = false;
        /// Revision that the change created, once it is known to be committed; else 0.
        Revision committedRevision = 0;
        std::optional<SteadyTime> heldByMajoritySince;
    };

    /// Returns the latest time such that more than half of the members, including this VM, have
    /// confirmed a heartbeat sent then or later (see Peer::confirmedAt).
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
    /// The revision of the settings key that the store last reported.
    Revision m_keyRevision = 0;
    Reason m_problem;
    std::vector<MemberId> m_members;
    /// When this process received the current member list.
    SteadyTime m_membersSince {};
    std::map<MemberId, Peer> m_peers;
    bool m_ready = false;
    Revision m_maxKnownRevision = 0;
    /// When this process first learned of a revision newer than the one in force; nullopt if it
    /// knows of none.
    std::optional<SteadyTime> m_behindSince;
    SteadyTime m_nextRequestAt {};
    /// Number of documents requested so far; selects the member for the next request.
    std::size_t m_requestCount = 0;
    StoreCallId m_lastCall = 0;
    StoreCallId m_catchUpCall = 0;
    SteadyTime m_nextCatchUpAt {};
    StoreCallId m_watchCall = 0;
    SteadyTime m_nextWatchAt {};
    /// The first change is running; the others wait for it to end.
    std::deque<PendingChange> m_changes;
};

} // namespace pimentoward
