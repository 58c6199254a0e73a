#pragma once

#include <string>

namespace pimentoward {

/// Names of the header fields that the tier reads and writes, as configured for the deployment.
struct HeaderNames
{
    /// ID of a caller's request. Backend servers repeat it in their replies.
    std::string requestId;
    /// Milliseconds for which the sender will still wait for the answer.
    std::string timeLeft;
    /// ID of the backend server that a request is meant for.
    std::string expectedBackend;
    /// Signature with which a backend server proves that it made the reply.
    std::string signature;
    /// Signatures of the replies that make up the answer to a fan-out.
    std::string partSignatures;
    /// Shards that are missing from the answer to a fan-out.
    std::string missingParts;
    /// Present if the backend server has not run the request.
    std::string notRun;
    /// "1" if the backend server that replies is about to stop and must get no new requests.
    std::string leaving;
    /// ID of the backend server that sends a health reply.
    std::string backendId;
    /// Milliseconds for which a backend server stays cold. Sent in its health replies.
    std::string coldLeft;
    /// API key of a caller, behind `keyScheme` and a space. Never sent to backend servers.
    std::string authorization;
    std::string keyScheme;
    /// Name of the workspace that holds the caller's API key. Sent to backend servers.
    std::string workspace;
};

} // namespace pimentoward
