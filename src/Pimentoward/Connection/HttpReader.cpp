#include "Pimentoward/Connection/HttpReader.h"

#include <http_parser.h>

namespace pimentoward {

namespace {

/// Maximum number of interim replies (status 1xx) before the final one.
constexpr unsigned maxInterimReplies = 32;
constexpr int statusSwitchingProtocols = 101;

/// Checks that the status line of a reply states the status in three digits behind one space, which
/// http_parser does not.
class StatusLineCheck
{
public:
    /// Checks the next bytes of a reply, up to the end of the status. Returns false if the status
    /// is malformed.
    bool accepts(std::string_view bytes)
    {
        for (const char byte : bytes) {
            if (m_place == Place::Behind) {
                return true;
            }
            if (!accepts(byte)) {
                return false;
            }
        }
        return true;
    }

private:
    enum class Place { Before, Version, Status, Behind };

    bool accepts(char byte)
    {
        const bool isLineEnd = byte == '\r' || byte == '\n';
        const bool isEnd = isLineEnd || byte == ' ';
        if (m_place == Place::Before) {
            m_place = isLineEnd ? Place::Before : Place::Version;
        } else if (m_place == Place::Version) {
            m_place = byte == ' ' ? Place::Status : Place::Version;
            return !isLineEnd;
        } else if (isEnd) {
            constexpr unsigned statusDigits = 3;
            m_place = Place::Behind;
            return m_digits == statusDigits;
        } else {
            ++m_digits;
        }
        return true;
    }

    Place m_place = Place::Before;
    unsigned m_digits = 0;
};

} // namespace

struct HttpReader::State
{
    http_parser parser {};
    Limits limits;
    HttpRequestMessage request;
    HttpReplyMessage reply;
    std::string headerName;
    std::string headerValue;
    std::size_t headBytes = 0;
    unsigned interimReplies = 0;
    StatusLineCheck statusLine;
    Progress outcome = Progress::Unfinished;
    bool begun = false;
    bool headEnded = false;
    bool isReplyToHead = false;
    bool hasValue = false;

    explicit State(Direction direction)
    {
        http_parser_init(&parser, direction == Direction::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
    }

    HttpHeaders &headers() { return parser.type == HTTP_REQUEST ? request.headers : reply.headers; }
    std::string &body() { return parser.type == HTTP_REQUEST ? request.body : reply.body; }

    /// Stores the current header field. Returns false if its value has a NUL, or if its name has a
    /// space or tab, which http_parser accepts before the colon but which other parsers may read as
    /// part of another name.
    bool endHeader()
    {
        const bool isValid = headerName.find_first_of(" \t") == std::string::npos
            && headerValue.find('\0') == std::string::npos;
        if (!headerName.empty()) {
            headers().add(headerName, headerValue);
        }
        headerName.clear();
        headerValue.clear();
        hasValue = false;
        return isValid;
    }

    /// Returns 1, which stops the parser, if the head exceeds its limit.
    int countHeadBytes(std::size_t size)
    {
        headBytes += size;
        if (limits.headBytes != 0 && headBytes > limits.headBytes) {
            outcome = Progress::HeadTooLong;
            return 1;
        }
        return 0;
    }

    /// Returns 0 to continue, 1 if the reply has no body, -1 on an error. These are the return
    /// values of http_parser's on_headers_complete.
    int onHeadEnd()
    {
        if (!endHeader()) {
            return -1;
        }
        headEnded = true;
        if (parser.type == HTTP_RESPONSE) {
            reply.status = parser.status_code;
            return onReplyHeadEnd();
        }
        request.method = http_method_str(static_cast<http_method>(parser.method));
        const bool hasLength = (parser.flags & F_CONTENTLENGTH) != 0;
        if (hasLength && limits.bodyBytes != 0 && parser.content_length > limits.bodyBytes) {
            outcome = Progress::BodyTooLong;
            return -1;
        }
        return 0;
    }

    /// As onHeadEnd(), for a reply. An interim reply has no body. Nobody asks for other protocols,
    /// so a reply that switches to one is wrong.
    int onReplyHeadEnd() const
    {
        constexpr int firstStatus = 100;
        constexpr int lastStatus = 599;
        const bool isStatus = parser.status_code >= firstStatus && parser.status_code <= lastStatus
            && parser.status_code != statusSwitchingProtocols;
        const bool hasBody = (parser.flags & (F_CONTENTLENGTH | F_CHUNKED)) != 0;
        if (!isStatus || (isInterim() && hasBody)) {
            return -1;
        }
        return isReplyToHead ? 1 : 0;
    }

    bool isInterim() const
    {
        constexpr int firstFinalStatus = 200;
        return parser.type == HTTP_RESPONSE && parser.status_code < firstFinalStatus;
    }

    int onBody(const char *bytes, std::size_t size)
    {
        if (limits.bodyBytes != 0 && body().size() + size > limits.bodyBytes) {
            outcome = Progress::BodyTooLong;
            return 1;
        }
        body().append(bytes, size);
        return 0;
    }

    int onEnd()
    {
        const bool keepsAlive = http_should_keep_alive(&parser) != 0;
        request.keepsConnection = keepsAlive;
        reply.keepsConnection = keepsAlive;
        // Pausing makes http_parser_execute() stop here: further bytes belong to the next message.
        http_parser_pause(&parser, 1);
        statusLine = {};
        if (isInterim()) {
            // The final reply follows.
            reply = {};
            return ++interimReplies > maxInterimReplies ? 1 : 0;
        }
        outcome = Progress::Finished;
        return 0;
    }

    /// True behind the end of a message.
    bool isPaused() const { return HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED; }
    /// Parses bytes up to the end of a message, which may be an interim reply. Returns the number
    /// of bytes parsed.
    std::size_t parse(std::string_view bytes);

    void reset()
    {
        request = {};
        reply = {};
        headBytes = 0;
        interimReplies = 0;
        outcome = Progress::Unfinished;
        begun = false;
        headEnded = false;
    }
};

namespace {

template <typename State>
http_parser_settings makeCallbacks()
{
    const auto stateFromParser
        = [](http_parser *parser) { return static_cast<State *>(parser->data); };
    static const auto stateOf = stateFromParser;
    http_parser_settings callbacks {};
    callbacks.on_message_begin = [](http_parser *parser) {
        State *self = stateOf(parser);
        self->begun = true;
        self->headEnded = false;
        return 0;
    };
    callbacks.on_url = [](http_parser *parser, const char *bytes, std::size_t size) {
        State *self = stateOf(parser);
        self->request.target.append(bytes, size);
        return self->countHeadBytes(size);
    };
    callbacks.on_header_field = [](http_parser *parser, const char *bytes, std::size_t size) {
        State *self = stateOf(parser);
        if (self->headEnded) {
            // A trailer field. It is dropped: the reader of a header field must be able to rely on
            // its place in the head.
            return self->countHeadBytes(size);
        }
        if (self->hasValue && !self->endHeader()) {
            return 1;
        }
        self->headerName.append(bytes, size);
        return self->countHeadBytes(size);
    };
    callbacks.on_header_value = [](http_parser *parser, const char *bytes, std::size_t size) {
        State *self = stateOf(parser);
        if (self->headEnded) {
            return self->countHeadBytes(size);
        }
        self->headerValue.append(bytes, size);
        self->hasValue = true;
        return self->countHeadBytes(size);
    };
    callbacks.on_headers_complete
        = [](http_parser *parser) { return stateOf(parser)->onHeadEnd(); };
    callbacks.on_body = [](http_parser *parser, const char *bytes, std::size_t size) {
        return stateOf(parser)->onBody(bytes, size);
    };
    callbacks.on_message_complete = [](http_parser *parser) { return stateOf(parser)->onEnd(); };
    return callbacks;
}

} // namespace

std::size_t HttpReader::State::parse(std::string_view bytes)
{
    static const http_parser_settings callbacks = makeCallbacks<State>();
    if (parser.type == HTTP_RESPONSE && !statusLine.accepts(bytes)) {
        outcome = Progress::Malformed;
        return 0;
    }
    return http_parser_execute(&parser, &callbacks, bytes.data(), bytes.size());
}

HttpReader::HttpReader(Direction direction, const Limits &limits)
    : m_state(std::make_unique<State>(direction))
{
    m_state->limits = limits;
}

HttpReader::~HttpReader() = default;

HttpReader::Progress HttpReader::read(std::string_view bytes, std::size_t &used)
{
    State &state = *m_state;
    used = 0;
    if (state.outcome != Progress::Unfinished) {
        return state.outcome;
    }
    used = state.parse(bytes);
    while (state.outcome == Progress::Unfinished && state.isPaused()) {
        http_parser_pause(&state.parser, 0);
        used += state.parse(bytes.substr(used));
    }
    if (state.outcome != Progress::Unfinished) {
        return state.outcome;
    }
    const bool isError = HTTP_PARSER_ERRNO(&state.parser) != HPE_OK;
    if (isError || state.parser.upgrade != 0) {
        state.outcome = HTTP_PARSER_ERRNO(&state.parser) == HPE_HEADER_OVERFLOW
            ? Progress::HeadTooLong
            : Progress::Malformed;
    }
    return state.outcome;
}

HttpReader::Progress HttpReader::readEnd()
{
    State &state = *m_state;
    if (state.outcome == Progress::Unfinished) {
        state.parse({});
    }
    return state.outcome == Progress::Unfinished ? Progress::Malformed : state.outcome;
}

void HttpReader::expectReplyTo(std::string_view method)
{
    m_state->isReplyToHead = method == "HEAD";
}

HttpRequestMessage HttpReader::takeRequest()
{
    HttpRequestMessage request = std::move(m_state->request);
    m_state->reset();
    http_parser_pause(&m_state->parser, 0);
    return request;
}

HttpReplyMessage HttpReader::takeReply()
{
    HttpReplyMessage reply = std::move(m_state->reply);
    m_state->reset();
    http_parser_pause(&m_state->parser, 0);
    return reply;
}

std::size_t HttpReader::bufferedBytes() const
{
    return m_state->headBytes + m_state->body().size();
}

std::size_t HttpReader::heldBytes() const
{
    const State &state = *m_state;
    const HttpRequestMessage &request = state.request;
    const HttpReplyMessage &reply = state.reply;
    const std::size_t fields
        = request.headers.fields().capacity() + reply.headers.fields().capacity();
    return state.headBytes + fields * sizeof(HttpHeader) + request.body.capacity()
        + reply.body.capacity();
}

void HttpReader::discard()
{
    const auto direction
        = m_state->parser.type == HTTP_REQUEST ? Direction::Requests : Direction::Replies;
    m_state = std::make_unique<State>(direction);
}

bool HttpReader::hasBegun() const
{
    return m_state->begun;
}

bool HttpReader::awaitsContinue() const
{
    constexpr std::string_view continueToken = "100-continue";
    return m_state->begun && m_state->headEnded && m_state->outcome == Progress::Unfinished
        && m_state->request.headers.hasToken("Expect", continueToken);
}

} // namespace pimentoward
