#pragma once

#include "Pimentoward/Connection/HttpAnswer.h"
#include "Pimentoward/Connection/HttpRequest.h"
#include "Pimentoward/Connection/HttpServerSettings.h"
#include "Pimentoward/Core/Address.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace pimentoward {

/// An HTTP/1.1 server on a task's loop. Handlers may answer later, on the same loop.
class HttpServer
{
public:
    /// Sends the answer of one request; to be called exactly once, before the server ends.
    using Responder = std::function<void(const HttpAnswer &)>;
    using Handler = std::function<void(const HttpRequest &, Responder)>;

    HttpServer(event_base *loop, const HttpServerSettings &settings);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Serves `path` for one method. Unknown paths and methods get a numbered refusal.
    void route(const std::string &method, const std::string &path, Handler handler);
    /// Serves for one method every path that begins with `prefix` and is no path of its own.
    void routePrefix(const std::string &method, const std::string &prefix, Handler handler);
    /// Runs `hook` before each handler, with the connection that its request came on.
    void setConnectionHook(std::function<void(evhttp_connection *)> hook);
    /// Binds the address; false with InvalidSetting in `reason` where that fails.
    bool listen(const Address &address, Reason &reason);
    /// The port that listen() has bound; of use where it was asked for port 0.
    std::uint16_t port() const;
    /// Takes no further connections; running requests go on.
    void stopListening();
    /// Requests that have no answer yet.
    std::size_t openRequests() const;

    /// The JSON answer that carries a result code and its sentence.
    static HttpAnswer errorAnswer(const Reason &reason);

private:
    static void onRequest(evhttp_request *request, void *self);
    void dispatch(evhttp_request *request);

    evhttp *m_http;
    evhttp_bound_socket *m_socket = nullptr;
    using Methods = std::map<std::string, Handler>;
    const Methods *methodsOf(const std::string &path) const;

    std::map<std::string, Methods> m_routes;
    std::map<std::string, Methods> m_prefixes;
    std::function<void(evhttp_connection *)> m_connectionHook;
    std::shared_ptr<std::size_t> m_openRequests;
};

} // namespace pimentoward
