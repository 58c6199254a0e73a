#pragma once

#include "Pimentoward/Connection/HttpMessage.h"
#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentoward {

/// Number of an attempt within its request, counted from 1.
using AttemptNumber = unsigned;

/// Why a request is sent to a backend server.
enum class SendPurpose {
    /// The first attempt of a part.
    First,
    /// The first attempt of a request that may not be repeated.
    FirstUnrepeatable,
    /// An attempt in addition to one that is overdue.
    Hedge,
    /// An attempt after one that failed.
    Retry
};

/// Whether the backend server has run the request, according to its reply.
enum class ReplyKind {
    /// The request has run and the reply holds the answer.
    Success,
    /// The backend server reports that it ran the request and failed.
    Failure,
    /// The request has not run and will not run later.
    NotRun,
    /// The request may have run, but there is no usable reply.
    Unknown
};

/// A reply, or its absence, after validation.
struct ClassifiedReply
{
    ReplyKind kind = ReplyKind::Unknown;
    HttpReplyMessage message;
    /// The signature by which the backend server proves that the reply is its own; empty if it sent
    /// none.
    std::string signature;
    /// True if another backend server replied, because the address no longer belongs to the one
    /// that the request was meant for.
    bool isMisdirected = false;
    /// True if the backend server states that it is about to stop.
    bool isLeaving = false;
    /// How long the backend server wants no requests, if it turned this one away for that time.
    std::optional<Duration> pause;
    /// Short text for logs that says why the reply is not a success.
    const char *reason = "";
};

/// How one caller's request is to be carried out.
struct GatherPlan
{
    /// The service of each part. A request that is not a fan-out has exactly one part.
    std::vector<ServiceName> parts;
    bool isFanout = false;
    bool isIdempotent = false;
    /// Maximum number of backend servers that may run the request, per part.
    unsigned maxAttempts = 1;
    /// Minimum share of the parts that an answer must contain.
    double minCoverage = 1;
    /// Maximum number of records in a fan-out's answer.
    std::size_t topRecords = 0;
    /// From this time on, a fan-out with the minimum coverage is answered at once.
    SteadyTime answerBy {};
    /// The request ends at this time.
    SteadyTime deadline {};
    /// A request of which nothing could be sent is refused at this time.
    SteadyTime refuseBy {};
    /// Time after the latest attempt of a part until the part is hedged.
    Duration hedgeDelay {};

    /// Moves all times that are later than `time` to `time`.
    void endBy(SteadyTime time)
    {
        answerBy = std::min(answerBy, time);
        deadline = std::min(deadline, time);
        refuseBy = std::min(refuseBy, time);
    }
};

/// How a request ended.
struct GatherOutcome
{
    HttpReplyMessage reply;
    /// Signatures of the parts that a fan-out's answer contains.
    std::vector<std::string> signatures;
    /// Ok, PartialCoverage, or the reason why there is no answer.
    Reason reason;
    std::size_t parts = 0;
    /// Number of parts without an answer.
    std::size_t missing = 0;
    /// Services of the missing parts, separated by commas; only the first few are listed.
    std::string missingServices;
    /// Number of attempts, including hedges and retries.
    unsigned sends = 0;
    unsigned hedges = 0;
    unsigned retries = 0;
    /// Why the latest unsuccessful attempt failed; empty if no attempt failed.
    std::string lastFailure;
};

/// Action of a Gather: send an attempt of a part to a backend server.
struct GatherSend
{
    std::size_t part = 0;
    AttemptNumber attempt = 0;
    SendPurpose purpose = SendPurpose::First;
    BackendServerId backend;
};

/// Action of a Gather: answer the caller. It is always the last one.
struct GatherFinish
{
    GatherOutcome outcome;
};

using GatherAction = std::variant<GatherSend, GatherFinish>;
using GatherActions = std::vector<GatherAction>;

} // namespace pimentoward
