#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/SettingsChange.h"
#include "Pimentoward/Process/SettingsHistory.h"
#include "Pimentoward/Process/SettingsSyncActions.h"
#include "Pimentoward/Process/SettingsSyncSettings.h"
#include "Pimentoward/Process/Store.h"

#include <functional>
#include <memory>

namespace pimentoward {

/// Connects a SettingsSync to the platform's store and to the other VMs, and executes its actions.
/// Owned by one task; all calls and hooks run on that task.
class SettingsSyncDriver
{
public:
    static constexpr const char *storeKey = "settings";

    struct Hooks
    {
        /// Sends the text of a document to a member, which passes it to onDocument().
        std::function<void(const MemberId &to, const std::string &document)> sendDocument;
        /// Requests a member's document; the member passes the request to onDocumentRequest().
        std::function<void(const MemberId &to)> requestDocument;
        /// Called when another document has come into force.
        std::function<void(const std::shared_ptr<const SettingsDocument> &)> documentChanged;
    };
    /// Receives the outcome of a change (see AnswerChange) and the revision that it created, or 0.
    using ChangeHook = std::function<void(const Reason &, Revision)>;
    /// Receives the history, or nullopt and the reason why it could not be read.
    using HistoryHook = std::function<void(std::optional<SettingsHistory>, const Reason &)>;

    /// `store` and `clock` must outlive this object.
    SettingsSyncDriver(const SettingsSyncSettings &settings, Store &store, const Clock &clock,
                       Hooks hooks);
    ~SettingsSyncDriver();

    /// Must be called at least every 100 ms.
    void tick();
    /// Sets the members of the current epoch, which include this VM.
    void updateMembers(std::vector<MemberId> members);
    /// Handles what a received heartbeat reports about its sender's settings.
    void onReport(const SettingsReport &report);
    /// Handles the text of a document that a member sent. One that cannot be parsed is logged and
    /// dropped.
    void onDocument(const std::string &text);
    /// Sends the document in force to a member that requested it.
    void onDocumentRequest(const MemberId &from);
    /// Commits an operator's change. `done` runs once the change is accepted or has failed.
    void change(const SettingsChange &change, ChangeHook done);
    /// Reads the history from the store.
    void readHistory(HistoryHook done);

    /// The document in force; never null.
    const std::shared_ptr<const SettingsDocument> &document() const;
    /// Why the settings in the store cannot be used. The code is Ok if they can be used or have not
    /// been read yet.
    const Reason &problem() const;
    /// True once this process has caught up with the accepted settings. Until then this VM's
    /// echoes of heartbeats must not count as contact.
    bool isReady() const;
    /// True if the state of the settings allows this VM to accept new work.
    bool mayServe() const;
    /// Returns the time until which mayServe() stays true without further input.
    SteadyTime serveUntil() const;
    /// True if this VM is one of the members that watch the settings in the store.
    bool isWatcher() const;
    /// Number of change records that are not yet known to be in the history in the store.
    std::size_t waitingRecords() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace pimentoward
