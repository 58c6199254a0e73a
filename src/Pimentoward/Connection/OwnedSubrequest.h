#pragma once

#include "Pimentoward/Connection/BackendCall.h"
#include "Pimentoward/Request/Messages.h"

#include <memory>
#include <optional>
#include <string>

namespace pimentoward {

/// One subrequest at its owner, from its arrival to its reply.
struct OwnedSubrequest
{
    std::shared_ptr<const SubrequestBatch> batch;
    SubrequestItem item;
    SteadyTime deadline;
    /// When the subrequest was sent to the backend server; empty before that.
    std::optional<SteadyTime> sentAt;
    bool isCancelled = false;

    std::string id() const { return BackendCall::subrequestId(batch->requestId, item.number); }
    /// Returns the reply that says why there is no result.
    Subreply failureReply(const Reason &reason) const { return replyTo(*batch, item, reason); }
};

} // namespace pimentoward
