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

/// An HTTP/1.1 server on the event loop of a task. Handlers may answer later, on the same loop.
class HttpServer
{
public:
    /// Sends the answer to one request. Must be called exactly once, before the server is
    /// destroyed.
    using Responder = std::function<void(const HttpAnswer &)>;
    using Handler = std::function<void(const HttpRequest &, Responder)>;

    HttpServer(event_base *loop, const HttpServerSettings &settings);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Sets the handler for one method and path. Unknown paths and methods are answered with a
    /// result code.
    void route(const std::string &method, const std::string &path, Handler handler);
    /// Sets the handler for one method and all paths that begin with `prefix` and have no handler
    /// of their own.
    void routePrefix(const std::string &method, const std::string &prefix, Handler handler);
    /// Sets a hook that runs before each handler, with the connection of the request.
    void setConnectionHook(std::function<void(evhttp_connection *)> hook);
    /// Binds the address. On failure returns false and sets `reason` to InvalidSetting.
    bool listen(const Address &address, Reason &reason);
    /// The port that listen() has bound. Needed if the address had port 0.
    std::uint16_t port() const;
    /// Stops accepting connections. Running requests continue.
    void stopListening();
    /// Number of requests that have no answer yet.
    std::size_t openRequests() const;

    /// Makes the JSON answer with a result code, its name and the reason.
    static HttpAnswer errorAnswer(const Reason &reason);

private:
    static void onRequest(evhttp_request *request, void *self);
    void dispatch(evhttp_request *request);

    evhttp *m_http;
    evhttp_bound_socket *m_socket = nullptr;
    using Methods = std::map<std::string, Handler>;
    /// The handlers for a path by method, or null if the path is unknown.
    const Methods *methodsOf(const std::string &path) const;

    std::map<std::string, Methods> m_routes;
    std::map<std::string, Methods> m_prefixes;
    std::function<void(evhttp_connection *)> m_connectionHook;
    std::shared_ptr<std::size_t> m_openRequests;
};

} // namespace pimentoward
