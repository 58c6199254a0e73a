#pragma once

#include "Pimentoward/Connection/HttpMessage.h"
#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentoward {

/// Number of one sending within a request, from 1.
using AttemptNumber = unsigned;

/// Why a request is sent to a backend server.
enum class SendPurpose {
    /// The first sending for its part.
    First,
    /// Beside one that is overdue.
    Hedge,
    /// After one that failed.
    Retry
};

/// What a reply says of the work at the backend server.
enum class ReplyKind {
    /// The answer.
    Success,
    /// The backend server ran the request and failed, and says so.
    Failure,
    /// It has not run, and never will.
    NotRun,
    /// It may have run; nothing that can be used came back.
    Unknown
};

/// One reply, judged.
struct ClassifiedReply
{
    ReplyKind kind = ReplyKind::Unknown;
    HttpReplyMessage message;
    /// The backend server's own proof of the reply; empty where it gave none.
    std::string signature;
    /// Another backend server answers at that address; the one asked for is not there any more.
    bool isMisdirected = false;
    /// Short word for logs: what the kind was judged by.
    const char *cause = "";
};

/// What is to be gathered for one caller's request.
struct GatherPlan
{
    /// Services to ask; one answers alone unless the request is a fan-out.
    std::vector<ServiceName> parts;
    bool isFanout = false;
    bool isIdempotent = false;
    /// Backend servers that may run the request, for each part.
    unsigned maxAttempts = 1;
    /// Share of the parts without which there is no answer.
    double minCoverage = 1;
    /// Records of the answer.
    std::size_t topRecords = 0;
    /// From here on what covers enough is the answer.
    SteadyTime answerBy {};
    /// Here the request ends.
    SteadyTime deadline {};
    /// A request that found no backend server to go to is refused at this time.
    SteadyTime refuseBy {};
    /// Time after which a part is hedged.
    Duration hedgeDelay {};
};

/// How a request ended.
struct GatherOutcome
{
    HttpReplyMessage reply;
    /// Signatures of the parts of a fan-out's answer.
    std::vector<std::string> signatures;
    /// Ok, PartialCoverage or why there is no answer.
    Reason reason;
    std::size_t parts = 0;
    std::size_t missing = 0;
    /// Services of the missing parts, joined by commas; the first few only.
    std::string missingServices;
    unsigned sends = 0;
    unsigned hedges = 0;
    unsigned retries = 0;
    /// Why the last part that failed did so; empty where none did.
    std::string lastFailure;
};

/// What a Gather wants done.
struct GatherSend
{
    std::size_t part = 0;
    AttemptNumber attempt = 0;
    SendPurpose purpose = SendPurpose::First;
    BackendServerId backend;
};
struct GatherFinish
{
    GatherOutcome outcome;
};
using GatherAction = std::variant<GatherSend, GatherFinish>;
using GatherActions = std::vector<GatherAction>;

} // namespace pimentoward
