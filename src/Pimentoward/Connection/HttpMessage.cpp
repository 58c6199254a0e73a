#include "Pimentoward/Connection/HttpMessage.h"

#include <http_parser.h>

namespace pimentoward {

namespace {

/// Bytes reserved in advance for the first line and the header fields.
constexpr std::size_t typicalHeadBytes = 512;

const char *reasonPhrase(int status)
{
    switch (status) {
#define PIMENTOWARD_STATUS(NUMBER, NAME, TEXT)                                                     \
    case NUMBER:                                                                                   \
        return #TEXT;
        HTTP_STATUS_MAP(PIMENTOWARD_STATUS)
#undef PIMENTOWARD_STATUS
    default:
        return "Unknown";
    }
}

void appendHeaders(std::string &bytes, const HttpHeaders &headers)
{
    for (const HttpHeader &field : headers.fields()) {
        if (equalIgnoringCase(field.name, "Content-Length")) {
            continue;
        }
        bytes += field.name;
        bytes += ": ";
        bytes += field.value;
        bytes += "\r\n";
    }
}

void appendLength(std::string &bytes, std::size_t length)
{
    bytes += "Content-Length: ";
    bytes += std::to_string(length);
    bytes += "\r\n";
}

bool expectsBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

std::string serializeHead(const HttpRequestMessage &request)
{
    std::string bytes;
    bytes.reserve(typicalHeadBytes);
    bytes += request.method;
    bytes += ' ';
    bytes += request.target;
    bytes += " HTTP/1.1\r\n";
    appendHeaders(bytes, request.headers);
    return bytes;
}

void appendBody(std::string &bytes, const std::string &method, const std::string &body)
{
    if (!body.empty() || expectsBody(method)) {
        appendLength(bytes, body.size());
    }
    bytes += "\r\n";
    bytes += body;
}

std::string serialize(const HttpRequestMessage &request)
{
    std::string bytes = serializeHead(request);
    appendBody(bytes, request.method, request.body);
    return bytes;
}

std::string serialize(const HttpReplyMessage &reply, const std::string &method)
{
    std::string bytes;
    bytes.reserve(typicalHeadBytes + reply.body.size());
    bytes += "HTTP/1.1 ";
    bytes += std::to_string(reply.status);
    bytes += ' ';
    bytes += reasonPhrase(reply.status);
    bytes += "\r\n";
    appendHeaders(bytes, reply.headers);
    if (!reply.keepsConnection) {
        bytes += "Connection: close\r\n";
    }
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    const bool hasBody = reply.status != noContent && reply.status != notModified;
    if (hasBody) {
        appendLength(bytes, reply.body.size());
    }
    bytes += "\r\n";
    if (hasBody && method != "HEAD") {
        bytes += reply.body;
    }
    return bytes;
}

} // namespace pimentoward
