#include "Pimentoward/Connection/HttpServer.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>

namespace pimentoward {

namespace {

std::string methodName(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    default:
        return "OTHER";
    }
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

std::string takeBody(evbuffer *input)
{
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

HttpRequest readRequest(evhttp_request *request)
{
    HttpRequest result;
    result.method = methodName(evhttp_request_get_command(request));
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    if (const char *path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr) {
        result.path = path;
    }
    if (const char *query = uri != nullptr ? evhttp_uri_get_query(uri) : nullptr) {
        evkeyvalq pairs {};
        if (evhttp_parse_query_str(query, &pairs) == 0) {
            for (const evkeyval *pair = pairs.tqh_first; pair != nullptr;
                 pair = pair->next.tqe_next) {
                result.parameters[pair->key] = pair->value;
            }
        }
        evhttp_clear_headers(&pairs);
    }
    for (const evkeyval *pair = evhttp_request_get_input_headers(request)->tqh_first;
         pair != nullptr; pair = pair->next.tqe_next) {
        result.headers[lowerCase(pair->key)] = pair->value;
    }
    result.body = takeBody(evhttp_request_get_input_buffer(request));
    return result;
}

void sendAnswer(evhttp_request *request, const HttpAnswer &answer)
{
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", answer.contentType.c_str());
    for (const auto &[name, value] : answer.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer *body = evhttp_request_get_output_buffer(request);
    evbuffer_add(body, answer.body.data(), answer.body.size());
    evhttp_send_reply(request, answer.status, nullptr, nullptr);
}

} // namespace

HttpServer::HttpServer(event_base *loop, const HttpServerSettings &settings)
    : m_http(evhttp_new(loop))
    , m_openRequests(std::make_shared<std::size_t>(0))
{
    evhttp_set_max_body_size(m_http, static_cast<ssize_t>(settings.maxBodyBytes));
    evhttp_set_max_headers_size(m_http, static_cast<ssize_t>(settings.maxHeaderBytes));
    evhttp_set_timeout(m_http, static_cast<int>(settings.idleTimeout.count()));
    evhttp_set_allowed_methods(m_http,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                   | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
    evhttp_set_gencb(m_http, &HttpServer::onRequest, this);
}

HttpServer::~HttpServer()
{
    evhttp_free(m_http);
}

void HttpServer::route(const std::string &method, const std::string &path, Handler handler)
{
    m_routes[path][method] = std::move(handler);
}

void HttpServer::routePrefix(const std::string &method, const std::string &prefix, Handler handler)
{
    m_prefixes[prefix][method] = std::move(handler);
}

const HttpServer::Methods *HttpServer::methodsOf(const std::string &path) const
{
    if (const auto found = m_routes.find(path); found != m_routes.end()) {
        return &found->second;
    }
    for (const auto &[prefix, methods] : m_prefixes) {
        if (path.compare(0, prefix.size(), prefix) == 0) {
            return &methods;
        }
    }
    return nullptr;
}

std::uint16_t HttpServer::port() const
{
    sockaddr_in local {};
    socklen_t size = sizeof(local);
    getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr *>(&local), &size);
    return ntohs(local.sin_port);
}

void HttpServer::setConnectionHook(std::function<void(evhttp_connection *)> hook)
{
    m_connectionHook = std::move(hook);
}

bool HttpServer::listen(const Address &address, Reason &reason)
{
    m_socket = evhttp_bind_socket_with_handle(m_http, address.host.c_str(), address.port);
    if (m_socket == nullptr) {
        reason = {ResultCode::InvalidSetting,
                  "cannot listen on " + address.toString()
                      + "; the address may be in use or may not belong to this machine"};
        return false;
    }
    return true;
}

void HttpServer::stopListening()
{
    if (m_socket != nullptr) {
        evhttp_del_accept_socket(m_http, m_socket);
        m_socket = nullptr;
    }
}

std::size_t HttpServer::openRequests() const
{
    return *m_openRequests;
}

HttpAnswer HttpServer::errorAnswer(const Reason &reason)
{
    const ResultCodeInfo &info = resultCodeInfo(reason.code);
    const nlohmann::json body {{"code", static_cast<int>(reason.code)},
                               {"result", info.name},
                               {"reason", reason.text.empty() ? info.meaning : reason.text}};
    constexpr auto replaceInvalidText = nlohmann::json::error_handler_t::replace;
    return {info.httpStatus, body.dump(-1, ' ', false, replaceInvalidText), "application/json", {}};
}

void HttpServer::onRequest(evhttp_request *request, void *self)
{
    static_cast<HttpServer *>(self)->dispatch(request);
}

void HttpServer::dispatch(evhttp_request *request)
{
    const HttpRequest parsed = readRequest(request);
    if (m_connectionHook) {
        m_connectionHook(evhttp_request_get_connection(request));
    }
    const Methods *methods = methodsOf(parsed.path);
    if (methods == nullptr) {
        sendAnswer(request, errorAnswer({ResultCode::UnknownPath, {}}));
        return;
    }
    const auto method = methods->find(parsed.method);
    if (method == methods->end()) {
        std::string allowed;
        for (const auto &[name, handler] : *methods) {
            allowed += (allowed.empty() ? "" : ", ") + name;
        }
        HttpAnswer answer = errorAnswer({ResultCode::MethodNotAllowed, "use " + allowed});
        answer.headers["Allow"] = allowed;
        sendAnswer(request, answer);
        return;
    }
    ++*m_openRequests;
    // libevent keeps the request alive until it is answered, even if its connection has closed.
    method->second(parsed, [request, open = m_openRequests](const HttpAnswer &answer) {
        --*open;
        sendAnswer(request, answer);
    });
}

} // namespace pimentoward
