#pragma once

#include "Pimentoward/Connection/BackendConnection.h"
#include "Pimentoward/Connection/HeaderNames.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Process/Timer.h"

#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// A caller of a stand-in site. It sends each request to a VM on a new connection and records the
/// outcomes.
class SiteCaller
{
public:
    struct Request
    {
        std::string method = "GET";
        std::string path = "/all/x";
        std::string body;
        /// Further header fields.
        std::vector<HttpHeader> headers;
        std::chrono::milliseconds timeLeft {1000};
        /// The caller disconnects after this time; 0 if it waits for the answer.
        std::chrono::milliseconds disconnectAfter {0};
    };

    /// A request and its result.
    struct Outcome
    {
        RequestId requestId;
        Request request;
        bool hasEnded = false;
        /// HTTP status; 0 if the connection ended without an answer or the caller disconnected.
        int status = 0;
        HttpReplyMessage reply;
        /// Time from the request to its answer.
        std::chrono::milliseconds elapsed {0};
    };

    /// All request IDs begin with `prefix`.
    SiteCaller(event_base *loop, std::string host, std::string prefix);
    ~SiteCaller();

    /// Sends a request. The outcome is filled in while the event loop runs, and the reference stays
    /// valid as long as this object exists.
    Outcome &send(const Address &vm, const Request &request);
    bool haveAllEnded() const;
    const std::list<Outcome> &outcomes() const { return m_outcomes; }

private:
    struct Running
    {
        std::unique_ptr<BackendConnection> connection;
        std::unique_ptr<Timer> disconnectTimer;
        SteadyTime sentAt {};
    };

    event_base *m_loop;
    /// Declared before m_running, because the exchanges there refer to these names.
    HeaderNames m_headerNames;
    std::string m_host;
    std::string m_prefix;
    std::list<Outcome> m_outcomes;
    std::list<Running> m_running;
};

} // namespace pimentoward::standins
