#pragma once

#include "Pimentoward/Connection/BackendConnection.h"
#include "Pimentoward/Connection/ForwardHeaders.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Process/Timer.h"

#include <chrono>
#include <list>
#include <memory>
#include <string>

struct event_base;

namespace pimentoward::standins {

/// A caller of a stand-in site: sends requests to VMs, each on a connection of its own, and keeps
/// what became of them.
class SiteCaller
{
public:
    struct Request
    {
        std::string method = "GET";
        std::string path = "/all/x";
        std::string body;
        std::chrono::milliseconds timeLeft {1000};
        /// The caller leaves after this time; 0: it stays.
        std::chrono::milliseconds disconnectAfter {0};
    };

    /// What became of a request.
    struct Outcome
    {
        RequestId requestId;
        Request request;
        bool hasEnded = false;
        /// 0 where the connection ended without an answer, or the caller left.
        int status = 0;
        HttpReplyMessage reply;
        std::chrono::milliseconds elapsed {0};
    };

    /// `prefix` begins all request ids.
    SiteCaller(event_base *loop, std::string host, std::string prefix);
    ~SiteCaller();

    /// Sends a request; the outcome is filled in while the loop runs and stays until the end.
    Outcome &send(const Address &vm, const Request &request);
    bool haveAllEnded() const;
    const std::list<Outcome> &outcomes() const { return m_outcomes; }

private:
    struct Running
    {
        std::unique_ptr<BackendConnection> connection;
        std::unique_ptr<Timer> leave;
        SteadyTime sentAt {};
    };

    event_base *m_loop;
    /// Outlives the exchanges, which refer to its names.
    ForwardHeaders m_names;
    std::string m_host;
    std::string m_prefix;
    std::list<Outcome> m_outcomes;
    std::list<Running> m_running;
};

} // namespace pimentoward::standins
