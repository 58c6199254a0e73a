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

/// Runs a SettingsSync against the platform's store and the links between VMs. Owned by one
/// task; all calls and hooks are on that task.
class SettingsSyncDriver
{
public:
    static constexpr const char *storeKey = "settings";

    struct Hooks
    {
        /// Sends the text of a document to a member, which passes it to onDocument().
        std::function<void(const MemberId &to, const std::string &document)> sendDocument;
        /// Asks a member for its document; the member passes it to onDocumentRequest().
        std::function<void(const MemberId &to)> requestDocument;
        /// Another document is in force.
        std::function<void(const std::shared_ptr<const SettingsDocument> &)> documentChanged;
    };
    /// How a change ended; see AnswerChange. The revision is the one that it made, or 0.
    using ChangeHook = std::function<void(const Reason &, Revision)>;
    using HistoryHook = std::function<void(std::optional<SettingsHistory>, const Reason &)>;

    /// `store` and `clock` must outlive this object.
    SettingsSyncDriver(const SettingsSyncSettings &settings, Store &store, const Clock &clock,
                       Hooks hooks);
    ~SettingsSyncDriver();

    /// To be called each 100 ms.
    void tick();
    /// The members of the current epoch, this VM among them.
    void updateMembers(std::vector<MemberId> members);
    /// What a heartbeat tells of its sender's settings.
    void onReport(const SettingsReport &report);
    /// The text of a document from a member; one that cannot be read is logged and dropped.
    void onDocument(const std::string &text);
    void onDocumentRequest(const MemberId &from);
    /// Commits an operator's change and waits until it is accepted.
    void change(const SettingsChange &change, ChangeHook done);
    /// Reads the history from the store.
    void readHistory(HistoryHook done);

    /// The document in force; never null.
    const std::shared_ptr<const SettingsDocument> &document() const;
    /// Why the store's settings cannot be used; code Ok where they can, or were not read.
    const Reason &problem() const;
    /// True once this run holds the newest settings; before, no heartbeat may be echoed.
    bool isReady() const;
    /// True where this VM may take on new work, as far as settings go.
    bool mayServe() const;
    /// End of the time for which mayServe() is true as things stand.
    SteadyTime serveUntil() const;
    /// True where this VM watches the store at present.
    bool isWatcher() const;
    /// Changes in the history that are not yet known to be in the store.
    std::size_t waitingRecords() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace pimentoward
