#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/SettingsDocument.h"

#include <chrono>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace pimentoward {

/// Names one store call of a SettingsSync until its result comes back; never 0.
using StoreCallId = std::uint64_t;
/// Names one change that waits for its answer.
using ChangeToken = std::uint64_t;

/// What a heartbeat tells of a member's settings.
struct SettingsReport
{
    MemberId from;
    /// Revision that the member holds.
    Revision revision = 0;
    /// True where the member has caught up since its start.
    bool ready = false;
    /// When this run of this VM sent the heartbeat that is echoed, on its own clock; nothing where
    /// the heartbeat echoes none of this run.
    std::optional<SteadyTime> echoedSentAt;
};

/// Read the settings key; the result goes to SettingsSync::onRead().
struct ReadSettings
{
    StoreCallId call = 0;
};

/// Watch the settings key; the result goes to SettingsSync::onRead().
struct WatchSettings
{
    StoreCallId call = 0;
    /// The key's revision that is known already.
    Revision after = 0;
    std::chrono::milliseconds wait {0};
};

/// Write the settings key; the outcome goes to SettingsSync::onWrite().
struct WriteSettings
{
    StoreCallId call = 0;
    /// The key's revision at which the write may take effect.
    Revision expected = 0;
    std::string value;
};

/// Send the document to a member.
struct PushSettings
{
    MemberId to;
    std::shared_ptr<const SettingsDocument> document;
};

/// Ask a member for its document.
struct RequestSettings
{
    MemberId to;
};

/// A change of this VM is committed; its records belong into the history.
struct RecordHistory
{
    std::shared_ptr<const SettingsDocument> document;
};

/// The end of a change: Ok (accepted), RevisionConflict, InvalidSetting, StoreUnavailable (nothing
/// was written), UnsureWrite or CommittedNotInForce.
struct AnswerChange
{
    ChangeToken token = 0;
    Reason outcome;
    /// Revision that the change made, or 0.
    Revision revision = 0;
};

using SettingsAction = std::variant<ReadSettings, WatchSettings, WriteSettings, PushSettings,
                                    RequestSettings, RecordHistory, AnswerChange>;
using SettingsActions = std::vector<SettingsAction>;

} // namespace pimentoward
