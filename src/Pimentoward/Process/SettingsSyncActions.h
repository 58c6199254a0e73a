#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/SettingsDocument.h"

#include <chrono>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace pimentoward {

/// Identifies one store call of a SettingsSync until its result arrives; never 0.
using StoreCallId = std::uint64_t;
/// Identifies one change that waits for its answer.
using ChangeToken = std::uint64_t;

/// What a heartbeat reports about its sender's settings.
struct SettingsReport
{
    MemberId from;
    /// Revision that the member holds.
    Revision revision = 0;
    /// True if the member has caught up with the accepted settings since its start.
    bool ready = false;
    /// Time on this VM's clock at which this process sent the heartbeat that is echoed; nullopt if
    /// no heartbeat of this process is echoed.
    std::optional<SteadyTime> echoedSentAt;
};

/// Reads the settings key; the result goes to SettingsSync::onRead().
struct ReadSettings
{
    StoreCallId call = 0;
};

/// Watches the settings key; the result goes to SettingsSync::onRead().
struct WatchSettings
{
    StoreCallId call = 0;
    /// The key's revision that is already known; the watch ends once the key has a newer one.
    Revision after = 0;
    std::chrono::milliseconds wait {0};
};

/// Writes the settings key; the outcome goes to SettingsSync::onWrite().
struct WriteSettings
{
    StoreCallId call = 0;
    /// The write takes effect only if the key still has this revision.
    Revision expected = 0;
    std::string value;
};

/// Sends the document to a member.
struct PushSettings
{
    MemberId to;
    std::shared_ptr<const SettingsDocument> document;
};

/// Requests a member's document.
struct RequestSettings
{
    MemberId to;
};

/// Adds the recent change records of a committed document to the history.
struct RecordHistory
{
    std::shared_ptr<const SettingsDocument> document;
};

/// Reports the outcome of a change: Ok (accepted), NotRunOverloaded, RevisionConflict,
/// InvalidSetting, StoreUnavailable (nothing was written), UnsureWrite or CommittedNotInForce.
struct AnswerChange
{
    ChangeToken token = 0;
    Reason outcome;
    /// Revision that the change created, or 0.
    Revision revision = 0;
};

using SettingsAction = std::variant<ReadSettings, WatchSettings, WriteSettings, PushSettings,
                                    RequestSettings, RecordHistory, AnswerChange>;
using SettingsActions = std::vector<SettingsAction>;

} // namespace pimentoward
