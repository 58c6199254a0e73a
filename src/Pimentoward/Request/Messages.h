#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Process/ClaimMessages.h"
#include "Pimentoward/Request/RequestClass.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentoward {

/// One subrequest: one backend server's share of a caller's request.
struct SubrequestItem
{
    /// Unique within its request; a hedge or retry takes a new number.
    std::uint32_t number = 0;
    ShardName shard;
    BackendServerId backendServer;
};

/// All subrequests of one caller request that go to one owner.
struct SubrequestBatch
{
    RequestId requestId;
    /// VM that gathers the replies.
    MemberId coordinator;
    ServiceName service;
    IndexVersion version = 0;
    RequestClass requestClass = RequestClass::Interactive;
    /// Time left until the caller's deadline when the batch was sent.
    std::chrono::milliseconds timeLeft {0};
    /// True for a request that may not be repeated: one dispatch, no retry by the owner.
    bool atMostOnce = false;
    /// JSON text that each backend server gets.
    std::string body;
    std::vector<SubrequestItem> items;
};

/// Withdraws subrequests; an owner that has not dispatched them answers NotRunCancelled.
struct SubrequestCancel
{
    RequestId requestId;
    MemberId coordinator;
    std::vector<std::uint32_t> numbers;
};

/// What an owner knows of a backend server's load when it replies.
struct LoadReport
{
    /// Subrequests waiting in the owner's queue.
    std::uint32_t queueLength = 0;
    /// Subrequests that the backend server may run at a time at present.
    std::uint32_t limit = 0;
    /// Mean service time of late.
    std::chrono::microseconds serviceTime {0};
    bool cold = false;
};

/// The outcome of one subrequest.
struct Subreply
{
    RequestId requestId;
    std::uint32_t number = 0;
    ShardName shard;
    BackendServerId backendServer;
    IndexVersion version = 0;
    ResultCode code = ResultCode::Ok;
    /// One sentence where `code` is no success.
    std::string detail;
    /// The backend server's JSON body, whole.
    std::string body;
    LoadReport load;
};

/// The reply to one subrequest of a batch, without a body; `reason` says how it ended.
Subreply replyTo(const SubrequestBatch &batch, const SubrequestItem &item, const Reason &reason);

/// A message between the query tasks of two VMs.
using PeerMessage = std::variant<SubrequestBatch, SubrequestCancel, Subreply, ClaimRequest,
                                 ClaimReply, ClaimSettlement, ClaimSettled>;

/// Encodes a message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);
/// Decodes one; fails with InvalidMessage on truncated, over-long or wrongly typed input.
std::optional<PeerMessage> decodePeerMessage(const std::string &bytes, Reason &reason);

} // namespace pimentoward
