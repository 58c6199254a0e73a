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

/// One subrequest: the part of a caller's request that one backend server runs for one shard.
struct SubrequestItem
{
    /// Unique within its request. A hedge or retry gets a new number.
    std::uint32_t number = 0;
    ShardName shard;
    BackendServerId backendServer;
};

/// The subrequests of one caller's request that are sent together to one owner.
struct SubrequestBatch
{
    RequestId requestId;
    /// VM that collects the replies.
    MemberId coordinator;
    ServiceName service;
    IndexVersion version = 0;
    RequestClass requestClass = RequestClass::Interactive;
    /// Time left, when the batch was sent, until the coordinator answers the caller at the latest.
    std::chrono::milliseconds timeLeft {0};
    /// True for a request that may run at most once. The owner then dispatches it once and does not
    /// retry it.
    bool atMostOnce = false;
    /// JSON text that is sent to each backend server.
    std::string body;
    std::vector<SubrequestItem> items;
};

/// Cancels subrequests. The owner replies NotRunCancelled to those that it has not dispatched.
struct SubrequestCancel
{
    RequestId requestId;
    MemberId coordinator;
    std::vector<std::uint32_t> numbers;
};

/// The load of a backend server, as its owner knows it when it replies.
struct LoadReport
{
    /// Subrequests waiting in the owner's queue.
    std::uint32_t queueLength = 0;
    /// Maximum number of subrequests that the backend server may run at the same time at present.
    std::uint32_t limit = 0;
    /// Recent mean service time.
    std::chrono::microseconds serviceTime {0};
    /// True while the backend server is in its cold start.
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
    /// One sentence that explains a `code` other than Ok.
    std::string detail;
    /// The complete JSON body from the backend server.
    std::string body;
    LoadReport load;
};

/// Builds the reply to one subrequest of a batch, without a body. `reason` holds its result code
/// and detail.
Subreply replyTo(const SubrequestBatch &batch, const SubrequestItem &item, const Reason &reason);

/// A message from the query task of one VM to that of another.
using PeerMessage = std::variant<SubrequestBatch, SubrequestCancel, Subreply, ClaimRequest,
                                 ClaimReply, ClaimSettlement, ClaimSettled>;

/// Encodes a message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);
/// Decodes a message from CBOR. Fails with InvalidMessage on truncated, overlong or wrongly typed
/// input.
std::optional<PeerMessage> decodePeerMessage(const std::string &bytes, Reason &reason);

} // namespace pimentoward
