#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// Times of a SettingsSync, and switches that only tests turn off.
struct SettingsSyncSettings
{
    MemberId self;
    /// Time without echoes after which a member has stopped by the quorum contact rule.
    Duration contactTime = std::chrono::seconds(2);
    /// How much longer a VM serves that has heard of a newer revision and does not hold it yet.
    Duration catchUpTime = std::chrono::seconds(1);
    /// Allowance for clocks of different rates, added to the two times above.
    Duration clockMargin = std::chrono::milliseconds(100);
    /// After a start or a change of the member list, members that this VM does not know (any more)
    /// may serve for this time; a change is then not accepted before those must have stopped.
    Duration memberListSettleTime = std::chrono::seconds(10);
    /// Pause before a store call that failed is made again.
    Duration storeRetryDelay = std::chrono::milliseconds(200);
    /// Pause before a member is asked for its document again.
    Duration requestRetryDelay = std::chrono::milliseconds(200);
    /// A change is answered within this time.
    Duration changeTimeLimit = std::chrono::seconds(10);
    /// How long one store watch waits.
    std::chrono::milliseconds watchTimeout {20'000};
    /// Members that watch the store at a time.
    std::size_t watcherCount = 2;
    /// Changes that may wait at one VM.
    std::size_t maxWaitingChanges = 64;

    /// Off: an unsure write is taken for one that failed.
    bool readsBackUnsureWrites = true;
    /// Off: a change is answered as soon as it is committed.
    bool waitsForMembers = true;
    /// Off: a change is accepted at once where all known members hold it.
    bool waitsForUnknownMembers = true;
    /// Off: a starting VM serves with what it has.
    bool catchesUpAtStart = true;
    /// Off: any document that comes in is taken.
    bool rejectsOlderRevisions = true;
    /// Off: a VM serves on, however long it lacks a newer revision.
    bool stopsWhenBehind = true;
    /// Off: a change that lost a race is merged into the newer document.
    bool refusesConflicts = true;
};

} // namespace pimentoward
