#pragma once

#include "Pimentoward/Connection/HttpHeaders.h"

#include <string>

namespace pimentoward {

/// A request that was received completely or is to be sent.
struct HttpRequestMessage
{
    std::string method = "GET";
    /// Path with the query string, as sent on the wire.
    std::string target;
    HttpHeaders headers;
    std::string body;
    /// False if the sender asks to close the connection after the reply.
    bool keepsConnection = true;
};

/// A reply that was received completely or is to be sent.
struct HttpReplyMessage
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    /// False if the sender closes the connection after this reply.
    bool keepsConnection = true;
};

/// Serializes the request line and the header fields of a request. Leaves out Content-Length and
/// the empty line that ends the head, so that further fields can be appended.
std::string serializeHead(const HttpRequestMessage &request);
/// Appends Content-Length (if there is a body or the method expects one), the empty line that ends
/// the head, and the body.
void appendBody(std::string &bytes, const std::string &method, const std::string &body);
/// Serializes a complete request.
std::string serialize(const HttpRequestMessage &request);
/// Serializes the reply to a request with `method`. A reply to HEAD states Content-Length but has
/// no body.
std::string serialize(const HttpReplyMessage &reply, const std::string &method);

} // namespace pimentoward
