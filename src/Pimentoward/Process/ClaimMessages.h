#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace pimentoward {

/// Unique name of one attempt to claim an idempotency key; never used twice.
using ClaimToken = std::string;

/// A coordinator asks the owner of a claim bucket to claim an idempotency key.
struct ClaimRequest
{
    ClaimToken token;
    /// VM that will dispatch if the claim is granted.
    MemberId coordinator;
    ServiceName service;
    std::string key;
    /// Hash of the request's content; the same key with another one is a conflict.
    std::uint64_t contentHash = 0;
    /// The key may not be used after this time.
    WallTime expiry {};
    /// Time left until the coordinator gives up.
    std::chrono::milliseconds timeLeft {0};
};

/// What became of a claim.
enum class ClaimVerdict : std::uint8_t {
    /// Committed for this token: its coordinator may dispatch, once.
    Granted = 0,
    /// The key has a recorded outcome.
    Recorded = 1,
    /// The key was claimed with other content.
    KeyConflict = 2,
    KeyExpired = 3,
    /// Another token holds the claim and its outcome is not known.
    MayHaveRun = 4,
    /// The claim could not be committed in time.
    StoreUnavailable = 5,
    /// The bucket has no room.
    Full = 6
};

/// The answer to a ClaimRequest; exactly one a token.
struct ClaimReply
{
    ClaimToken token;
    ClaimVerdict verdict = ClaimVerdict::StoreUnavailable;
    /// Recorded outcome, where the verdict is Recorded.
    ResultCode code = ResultCode::Ok;
    std::string body;
};

/// A coordinator reports how its granted request ended.
struct ClaimSettlement
{
    ClaimToken token;
    MemberId coordinator;
    ServiceName service;
    std::string key;
    /// False where nothing was run: the claim is released and the key may be claimed again.
    bool ran = true;
    ResultCode code = ResultCode::Ok;
    std::string body;
};

/// The settlement is committed in the store.
struct ClaimSettled
{
    ClaimToken token;
};

} // namespace pimentoward
