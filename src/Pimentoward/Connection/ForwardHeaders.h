#pragma once

#include <string>

namespace pimentoward {

/// Names of the header fields that the tier reads and writes, as the deployment spells them.
struct ForwardHeaders
{
    /// Identifies a caller's request; backend servers repeat it.
    std::string requestId;
    /// Milliseconds for which the sender still waits.
    std::string timeLeft;
    /// Id of the backend server that a request is meant for.
    std::string expectedBackend;
    /// A backend server's proof of its reply.
    std::string signature;
    /// Signatures of the parts of a fan-out's answer.
    std::string partSignatures;
    /// Shards that a fan-out's answer leaves out.
    std::string missingParts;
    /// Present where a backend server has not run the request.
    std::string notRun;
    /// Milliseconds for which a backend server stays cold, in its health replies.
    std::string coldLeft;
};

} // namespace pimentoward
