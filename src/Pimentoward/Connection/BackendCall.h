#pragma once

#include "Pimentoward/Connection/HttpAnswer.h"
#include "Pimentoward/Connection/HttpCall.h"
#include "Pimentoward/Request/Messages.h"

namespace pimentoward {

/// The HTTP form of one subrequest to a backend server (docs/INTERFACES.md, "Backend servers").
class BackendCall
{
public:
    /// POST /run with the identity, the pinned version and the time left.
    static HttpCall run(const SubrequestBatch &batch, const SubrequestItem &item, Duration timeLeft,
                        Duration grace);
    /// POST /cancel for the same subrequest.
    static HttpCall cancel(const RequestId &requestId, std::uint32_t number, Duration timeout);
    /// Reads the answer of run(). A reply whose identity, version or length is not the expected
    /// one gets WrongReply.
    static Subreply readReply(const SubrequestBatch &batch, const SubrequestItem &item,
                              const HttpAnswer &answer);
    /// True where an outcome proves that the backend server does not work on the subrequest any
    /// more. An answer to another request proves nothing, nor does a lost one.
    static bool provesEnd(ResultCode code, bool isAnswered);
    /// True where the answer of cancel() proves that the work has ended.
    static bool acknowledgesCancel(const HttpAnswer &answer);
    /// The backend server's incarnation, 0 where the answer states none.
    static Incarnation incarnation(const HttpAnswer &answer);
    /// True where the answer says that the backend server is leaving.
    static bool isLeaving(const HttpAnswer &answer);
    /// Unique id of a subrequest at the backend server: "REQUEST/NUMBER".
    static std::string subrequestId(const RequestId &requestId, std::uint32_t number);
};

} // namespace pimentoward
