#pragma once

#include "Pimentoward/Connection/HttpAnswer.h"
#include "Pimentoward/Connection/HttpCall.h"
#include "Pimentoward/Request/Messages.h"

namespace pimentoward {

/// Builds the HTTP calls of one subrequest to a backend server and reads the answers
/// (docs/INTERFACES.md, "Backend servers").
class BackendCall
{
public:
    /// Builds POST /run with the subrequest's ID, the pinned index version and the time left. The
    /// call times out `grace` after the deadline.
    static HttpCall run(const SubrequestBatch &batch, const SubrequestItem &item, Duration timeLeft,
                        Duration grace);
    /// Builds POST /cancel for the same subrequest.
    static HttpCall cancel(const RequestId &requestId, std::uint32_t number, Duration timeout);
    /// Converts the answer to run() into a reply. An answer with status 200 whose ID, shard,
    /// version or length does not match the subrequest becomes WrongReply.
    static Subreply readReply(const SubrequestBatch &batch, const SubrequestItem &item,
                              const HttpAnswer &answer);
    /// Returns true if the outcome proves that the backend server no longer works on the
    /// subrequest. A mismatched answer proves nothing. A missing answer proves it only if `code`
    /// says that nothing was sent or run.
    static bool provesEnd(ResultCode code, bool isAnswered);
    /// Returns true if the answer to cancel() proves that the work has ended.
    static bool acknowledgesCancel(const HttpAnswer &answer);
    /// Returns the backend server's incarnation, or 0 if the answer does not contain it.
    static Incarnation incarnation(const HttpAnswer &answer);
    /// Returns true if the answer says that the backend server is leaving.
    static bool isLeaving(const HttpAnswer &answer);
    /// Returns the unique ID of a subrequest at the backend server: "REQUEST/NUMBER".
    static std::string subrequestId(const RequestId &requestId, std::uint32_t number);
};

} // namespace pimentoward
