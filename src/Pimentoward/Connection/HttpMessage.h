#pragma once

#include "Pimentoward/Connection/HttpHeaders.h"

#include <string>

namespace pimentoward {

/// A request, read whole or to be sent.
struct HttpRequestMessage
{
    std::string method = "GET";
    /// Path with its query part, as it stands on the wire.
    std::string target;
    HttpHeaders headers;
    std::string body;
    /// False where the other side wants the connection closed after the reply.
    bool keepsConnection = true;
};

/// A reply, read whole or to be sent.
struct HttpReplyMessage
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    /// False where the other side closes the connection after this reply.
    bool keepsConnection = true;
};

/// First line and header fields of a request, without the length of its body and without the empty
/// line that ends a head; further fields may follow.
std::string serializeHead(const HttpRequestMessage &request);
/// Ends a head with the length of the body, where there is one or the method expects one, and
/// appends the body.
void appendBody(std::string &bytes, const std::string &method, const std::string &body);
/// The bytes of a whole request.
std::string serialize(const HttpRequestMessage &request);
/// The bytes of a reply to a request with `method`; states the length of its body.
std::string serialize(const HttpReplyMessage &reply, const std::string &method);

} // namespace pimentoward
