#pragma once

#include "Pimentoward/Connection/HeaderNames.h"
#include "Pimentoward/Connection/HttpMessage.h"
#include "Pimentoward/Request/GatherTypes.h"

#include <optional>
#include <string>

namespace pimentoward {

/// Builds the requests to backend servers and the replies to callers. Performs no I/O.
class ForwardMessages
{
public:
    explicit ForwardMessages(HeaderNames names);

    /// How long the caller waits, as stated in its request; nothing if it states no valid time.
    std::optional<Duration> timeLeft(const HttpRequestMessage &request) const;
    /// Request line and header fields of a caller's request, in the form that is sent to every
    /// backend server. If `hasWorkspaces`, the API key is left out and only `workspace` is named;
    /// it may be empty.
    std::string head(const HttpRequestMessage &request, bool hasWorkspaces,
                     const std::string &workspace) const;
    /// The complete request for one backend server. If `expectedBackend` is empty, the request
    /// names no backend server. `remaining` is the time that the caller still waits.
    std::string request(const std::string &head, const std::string &method, const std::string &body,
                        const BackendServerId &expectedBackend, Duration remaining) const;
    /// The reply to a caller; moves the content out of `outcome`.
    HttpReplyMessage reply(GatherOutcome &outcome, const RequestId &id) const;

private:
    HeaderNames m_names;
};

} // namespace pimentoward
