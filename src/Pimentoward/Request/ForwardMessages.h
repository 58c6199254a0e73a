#pragma once

#include "Pimentoward/Connection/ForwardHeaders.h"
#include "Pimentoward/Connection/HttpMessage.h"
#include "Pimentoward/Request/GatherTypes.h"

#include <optional>
#include <string>

namespace pimentoward {

/// Makes the messages that go to backend servers and back to callers. Does no input or output.
class ForwardMessages
{
public:
    explicit ForwardMessages(ForwardHeaders names);

    /// Time that the sender still waits, as its request states; nothing where it states none.
    std::optional<Duration> timeLeft(const HttpRequestMessage &request) const;
    /// First line and header fields of a caller's request, as they go to every backend server.
    std::string head(const HttpRequestMessage &request) const;
    /// A whole request for one backend server. `to` is empty where none is to be named.
    std::string request(const std::string &head, const std::string &method, const std::string &body,
                        const BackendServerId &expectedBackend, Duration remaining) const;
    /// The reply to a caller; takes the content of `outcome`.
    HttpReplyMessage reply(GatherOutcome &outcome, const RequestId &id) const;

private:
    ForwardHeaders m_names;
};

} // namespace pimentoward
