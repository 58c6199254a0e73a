#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// Parameters of a SettingsSync, and switches that only tests turn off.
struct SettingsSyncSettings
{
    /// ID of this VM.
    MemberId self;
    /// Time without heartbeat echoes after which a member has stopped serving, as it has lost its
    /// quorum contact.
    Duration contactTime = std::chrono::seconds(2);
    /// How much longer a VM that lacks a newer revision keeps serving, so that it has time to fetch
    /// that revision.
    Duration catchUpTime = std::chrono::seconds(1);
    /// Allowance for clocks that run at different rates, added to the two times above.
    Duration clockMargin = std::chrono::milliseconds(100);
    /// For this time after a start or a change of the member list, VMs that this VM does not know
    /// as members may still be serving. A change is not accepted before they must have stopped.
    Duration memberListSettleTime = std::chrono::seconds(10);
    /// Delay before a failed store call is retried.
    Duration storeRetryDelay = std::chrono::milliseconds(200);
    /// Delay before a document is requested again, from the next member that holds it.
    Duration requestRetryDelay = std::chrono::milliseconds(200);
    /// Time within which every change is answered.
    Duration changeTimeLimit = std::chrono::seconds(10);
    /// Maximum duration of one watch call to the store.
    std::chrono::milliseconds watchTimeout {20'000};
    /// Number of members that watch the settings in the store at a time.
    std::size_t watcherCount = 2;
    /// Maximum number of changes on one VM, the running one included.
    std::size_t maxWaitingChanges = 64;

    /// Reads the settings back after a write of unknown outcome. Without it, such a write is
    /// answered as failed although it may take effect.
    bool readsBackUnsureWrites = true;
    /// Accepts a change only once each member holds it or must have stopped serving. Without it, a
    /// change is accepted as soon as it is committed.
    bool waitsForMembers = true;
    /// Also waits for VMs that may be serving without being in the known member list (see
    /// memberListSettleTime). Without it, a change is accepted at once if all known members hold
    /// it.
    bool waitsForUnknownMembers = true;
    /// Catches up with the accepted settings before the VM serves. Without it, a VM serves right
    /// after its start, with the default settings.
    bool catchesUpAtStart = true;
    /// Accepts only documents with a newer revision than the one in force. Without it, any received
    /// document is put in force, even an older one.
    bool rejectsOlderRevisions = true;
    /// Stops serving if the members may hold a newer revision. Without it, a VM keeps serving,
    /// however long it lacks a newer revision.
    bool stopsWhenBehind = true;
    /// Rejects a change if another one was committed first. Without it, the change is applied to
    /// the newer document.
    bool refusesConflicts = true;
};

} // namespace pimentoward
