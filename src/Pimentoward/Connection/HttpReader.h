#pragma once

#include "Pimentoward/Connection/HttpMessage.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace pimentoward {

/// Reads HTTP/1.1 messages of one direction from the bytes of one connection, one message at a
/// time. Strict: what two readers might understand differently is an error.
class HttpReader
{
public:
    enum class Direction { Requests, Replies };

    /// What may come at most; 0 stands for no bound.
    struct Limits
    {
        /// First line and header fields, in bytes.
        std::size_t headBytes = 65'536;
        /// Body, in bytes.
        std::size_t bodyBytes = 16'777'216;
    };

    enum class Progress {
        /// More bytes are needed.
        Unfinished,
        /// A whole message stands ready.
        Finished,
        /// The bytes are no message.
        Malformed,
        HeadTooLong,
        BodyTooLong
    };

    HttpReader(Direction direction, const Limits &limits);
    ~HttpReader();
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /// Reads up to the end of a message; `used` tells how many bytes it took. After Finished the
    /// message is to be taken before the next call.
    Progress read(std::string_view bytes, std::size_t &used);
    /// The connection has ended; finishes a reply whose end was to be the connection's.
    Progress readEnd();
    /// The next reply belongs to a request with this method: none to HEAD has a body.
    void expectReplyTo(std::string_view method);

    HttpRequestMessage takeRequest();
    HttpReplyMessage takeReply();
    /// True where some bytes of a message that has not ended have come.
    bool hasBegun() const;
    /// True where the head has ended and the sender waits for leave to send the body.
    bool awaitsContinue() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
