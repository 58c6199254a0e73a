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
    /// Unique id of a subrequest at the backend server: "REQUEST/NUMBER".
    static std::string subrequestId(const RequestId &requestId, std::uint32_t number);
};

} // namespace pimentoward
