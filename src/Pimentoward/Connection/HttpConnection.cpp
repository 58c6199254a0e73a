#include "Pimentoward/Connection/HttpConnection.h"

#include "Pimentoward/Process/Timer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <map>
#include <optional>

namespace pimentoward {

namespace {

/// An answer with a longer head or body ends its call; the connection is closed. Answers of the
/// store and of other VMs hold up to some thousand records.
constexpr ev_ssize_t maxAnswerHeadBytes = 65'536;
constexpr ev_ssize_t maxAnswerBodyBytes = 16'777'216;
/// Maximum bytes that a call receives besides the body: the head, interim answers and what frames
/// the body. libevent limits only the head.
constexpr std::size_t maxFramingBytes = 1'048'576;
constexpr std::size_t maxReceivedBytes = maxAnswerBodyBytes + maxFramingBytes;

/// The library's name of a method; nothing if calls do not use the method.
std::optional<evhttp_cmd_type> commandOf(const std::string &method)
{
    static const std::map<std::string, evhttp_cmd_type> commands {{"GET", EVHTTP_REQ_GET},
                                                                  {"POST", EVHTTP_REQ_POST},
                                                                  {"PUT", EVHTTP_REQ_PUT},
                                                                  {"DELETE", EVHTTP_REQ_DELETE}};
    const auto found = commands.find(method);
    return found == commands.end() ? std::nullopt : std::optional(found->second);
}

HttpAnswer readAnswer(evhttp_request *request)
{
    HttpAnswer answer;
    answer.status = evhttp_request_get_response_code(request);
    for (const evkeyval *pair = evhttp_request_get_input_headers(request)->tqh_first;
         pair != nullptr; pair = pair->next.tqe_next) {
        std::string name = pair->key;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return std::tolower(letter); });
        answer.headers[name] = pair->value;
    }
    evbuffer *input = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, answer.body.data(), answer.body.size());
    return answer;
}

} // namespace

struct HttpConnection::State
{
    Address address;
    event_base *loop = nullptr;
    evhttp_connection *connection = nullptr;
    evhttp_request *request = nullptr;
    DoneHook done;
    std::function<void()> idleClosedHook;
    std::unique_ptr<Timer> deadline;
    /// Bytes that have arrived since the call was sent.
    std::size_t receivedBytes = 0;
    bool isAnswerTooLong = false;
    bool failedAtStart = false;

    void finish(std::optional<HttpAnswer> answer, const Reason &reason)
    {
        deadline->stop();
        request = nullptr;
        const DoneHook hook = std::move(done);
        done = nullptr;
        hook(std::move(answer), reason);
    }

    /// True if input has arrived that does not belong to the answer of any call.
    bool hasUnexpectedInput() const
    {
        bufferevent *stream = evhttp_connection_get_bufferevent(connection);
        return stream != nullptr && evbuffer_get_length(bufferevent_get_input(stream)) > 0;
    }

    void open()
    {
        connection = evhttp_connection_base_new(loop, nullptr, address.host.c_str(), address.port);
        evhttp_connection_set_closecb(connection, &State::onClosed, this);
        evhttp_connection_set_max_headers_size(connection, maxAnswerHeadBytes);
        evhttp_connection_set_max_body_size(connection, maxAnswerBodyBytes);
        evbuffer *input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
        evbuffer_add_cb(input, &State::onInput, this);
    }

    void close()
    {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        evhttp_connection_free(connection);
    }

    bool isConnected() const
    {
        bufferevent *stream = evhttp_connection_get_bufferevent(connection);
        if (stream == nullptr || bufferevent_getfd(stream) < 0 || hasUnexpectedInput()) {
            return false;
        }
        sockaddr_storage peer {};
        socklen_t size = sizeof(peer);
        return getpeername(bufferevent_getfd(stream), reinterpret_cast<sockaddr *>(&peer), &size)
            == 0;
    }

    static void onDone(evhttp_request *request, void *self)
    {
        auto *state = static_cast<State *>(self);
        if (state->done == nullptr) {
            return;
        }
        if (request == nullptr) {
            // libevent passes no request if an established connection broke.
            state->finish(
                std::nullopt,
                {ResultCode::MayHaveRun, "the connection broke before an answer arrived"});
        } else if (evhttp_request_get_response_code(request) == 0) {
            // libevent passes a request without a status if the connection was never established.
            state->failUnreachable();
        } else {
            state->finish(readAnswer(request), {});
        }
    }

    static void onClosed(evhttp_connection *, void *self)
    {
        auto *state = static_cast<State *>(self);
        // If a call is in flight, its own hook reports the failure.
        if (state->done == nullptr && state->idleClosedHook) {
            state->idleClosedHook();
        }
    }

    static void onInput(evbuffer *input, const evbuffer_cb_info *change, void *self)
    {
        auto *state = static_cast<State *>(self);
        state->receivedBytes += change->n_added;
        // Without new bytes, libevent may be closing the connection and has freed the request.
        const bool hasArrived = change->n_added > 0;
        if (hasArrived && state->request != nullptr && !state->isAnswerTooLong) {
            state->checkLength(*input);
        }
    }

    void checkLength(const evbuffer &input)
    {
        const std::size_t heldBytes = evbuffer_get_length(&input)
            + evbuffer_get_length(evhttp_request_get_input_buffer(request));
        const std::size_t framingBytes = receivedBytes - std::min(receivedBytes, heldBytes);
        if (receivedBytes > maxReceivedBytes || framingBytes > maxFramingBytes) {
            isAnswerTooLong = true;
            // libevent is reading, so the call is ended from the event loop.
            deadline->startOnce(Duration::zero());
        }
    }

    void failUnreachable()
    {
        finish(std::nullopt,
               {ResultCode::PeerUnreachable, "cannot connect to " + address.toString()});
    }

    void onDeadline()
    {
        if (failedAtStart) {
            failUnreachable();
            return;
        }
        // Cancelling closes the connection, so a late answer cannot be taken for that of the next
        // call.
        if (request != nullptr) {
            evhttp_cancel_request(request);
        }
        if (done == nullptr) {
            return;
        }
        if (isAnswerTooLong) {
            finish(std::nullopt, {ResultCode::MayHaveRun, "the answer does not end"});
        } else {
            finish(std::nullopt,
                   {ResultCode::DeadlineExceeded, "no answer within the timeout of the call"});
        }
    }
};

HttpConnection::HttpConnection(event_base *loop, const Address &address)
    : m_state(std::make_shared<State>())
{
    m_state->address = address;
    m_state->loop = loop;
    m_state->open();
    m_state->deadline
        = std::make_unique<Timer>(loop, [state = m_state.get()] { state->onDeadline(); });
}

HttpConnection::~HttpConnection()
{
    // Freeing the connection may run onDone for a running call, which must then find no hook.
    m_state->done = nullptr;
    m_state->close();
}

void HttpConnection::send(const HttpCall &call, DoneHook done)
{
    assert(!isBusy());
    const std::optional<evhttp_cmd_type> command = commandOf(call.method);
    assert(command);
    if (m_state->hasUnexpectedInput()) {
        // The unexpected input would be read as the answer to this call.
        m_state->close();
        m_state->open();
    }
    m_state->done = std::move(done);
    m_state->failedAtStart = false;
    m_state->receivedBytes = 0;
    m_state->isAnswerTooLong = false;
    evhttp_request *request = evhttp_request_new(&State::onDone, m_state.get());
    m_state->request = request;
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", m_state->address.host.c_str());
    for (const auto &[name, value] : call.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    m_state->deadline->startOnce(call.timeout);
    if (evhttp_make_request(m_state->connection, request, *command, call.target.c_str()) != 0) {
        // libevent has freed the request. The timer makes the hook run from the event loop.
        m_state->request = nullptr;
        m_state->failedAtStart = true;
        m_state->deadline->startOnce(Duration::zero());
    }
}

void HttpConnection::setIdleClosedHook(std::function<void()> hook)
{
    m_state->idleClosedHook = std::move(hook);
}

bool HttpConnection::isBusy() const
{
    return m_state->done != nullptr;
}

bool HttpConnection::isConnected() const
{
    return m_state->isConnected();
}

} // namespace pimentoward
