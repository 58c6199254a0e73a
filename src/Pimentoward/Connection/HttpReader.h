#pragma once

#include "Pimentoward/Connection/HttpMessage.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace pimentoward {

/// Parses the HTTP/1.1 requests or replies of one connection, one message at a time. It is strict:
/// messages that two parsers might interpret differently are malformed. Trailer fields behind a
/// chunked body are dropped.
class HttpReader
{
public:
    /// Which messages are read.
    enum class Direction { Requests, Replies };

    /// Maximum sizes; 0 means no limit.
    struct Limits
    {
        /// First line and header fields (the head), in bytes.
        std::size_t headBytes = 65'536;
        /// Body, in bytes.
        std::size_t bodyBytes = 16'777'216;
    };

    enum class Progress {
        /// The message is incomplete; more bytes are needed.
        Unfinished,
        /// A complete message can be taken.
        Finished,
        /// The bytes are not a valid message.
        Malformed,
        /// The head exceeds Limits::headBytes.
        HeadTooLong,
        /// The body exceeds Limits::bodyBytes.
        BodyTooLong
    };

    HttpReader(Direction direction, const Limits &limits);
    ~HttpReader();
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /// Reads at most to the end of the current message and sets `used` to the number of bytes read.
    /// After Finished the message must be taken before the next call.
    Progress read(std::string_view bytes, std::size_t &used);
    /// Tells the reader that the connection has ended. This completes a reply that has no length
    /// and ends with the connection.
    Progress readEnd();
    /// Sets the method of the request that the next reply belongs to. A reply to HEAD has no body.
    void expectReplyTo(std::string_view method);

    /// Returns the finished request and prepares for the next one.
    HttpRequestMessage takeRequest();
    /// Returns the finished reply and prepares for the next one.
    HttpReplyMessage takeReply();
    /// Number of bytes that the unfinished message takes so far.
    std::size_t bufferedBytes() const;
    /// Estimate of the memory that the unfinished message takes so far, in bytes.
    std::size_t heldBytes() const;
    /// Drops the unfinished message and frees its memory. The reader must not be used further.
    void discard();
    /// True if a message has begun and has not been taken yet.
    bool hasBegun() const;
    /// True if the head is complete and the sender waits for "100 Continue" to send the body.
    bool awaitsContinue() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
