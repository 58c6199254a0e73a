#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace pimentoward {

/// Unique identifier of one attempt to claim an idempotency key; never reused.
using ClaimToken = std::string;

/// Request of a coordinator to the owner of a claim bucket to claim an idempotency key.
struct ClaimRequest
{
    ClaimToken token;
    /// VM that dispatches the request if the claim is granted.
    MemberId coordinator;
    ServiceName service;
    std::string key;
    /// Hash of the request's content. Using the same key with a different hash is a conflict.
    std::uint64_t contentHash = 0;
    /// Time after which the key must not be used.
    WallTime expiry {};
    /// Time left until the coordinator stops waiting for the reply.
    std::chrono::milliseconds timeLeft {0};
};

/// Result of a claim.
enum class ClaimVerdict : std::uint8_t {
    /// The claim is committed for this token; its coordinator may dispatch once.
    Granted = 0,
    /// The key has a recorded outcome.
    Recorded = 1,
    /// The key was claimed with different content.
    KeyConflict = 2,
    /// The expiry of the key has passed.
    KeyExpired = 3,
    /// Another token holds the claim and its outcome is not known.
    MayHaveRun = 4,
    /// The claim could not be committed in time.
    StoreUnavailable = 5,
    /// The record of the bucket has no free capacity.
    Full = 6
};

/// Reply to a ClaimRequest. Each token gets exactly one.
struct ClaimReply
{
    ClaimToken token;
    ClaimVerdict verdict = ClaimVerdict::StoreUnavailable;
    /// Result code and body of the recorded outcome, if the verdict is Recorded.
    ResultCode code = ResultCode::Ok;
    std::string body;
};

/// Report of a coordinator on how the request of a granted claim ended.
struct ClaimSettlement
{
    ClaimToken token;
    MemberId coordinator;
    ServiceName service;
    std::string key;
    /// False if the request was not executed: the claim is released and the key can be claimed
    /// again.
    bool ran = true;
    ResultCode code = ResultCode::Ok;
    std::string body;
};

/// Confirmation that the settlement of a token is committed in the store.
struct ClaimSettled
{
    ClaimToken token;
};

} // namespace pimentoward
