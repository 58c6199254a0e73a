#pragma once

#include "Pimentoward/Connection/ForwardHeaders.h"
#include "Pimentoward/Connection/HttpReader.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/Timer.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct event_base;

namespace pimentoward::standins {

/// A stand-in backend server that the tier sends to directly: slots and a queue, signed replies,
/// cold start, and every way in which a reply can go wrong. Records what it ran.
class ShardServer
{
public:
    /// What becomes of one request.
    enum class Fault {
        None,
        /// Runs it; half of the reply is sent, then the connection ends.
        TruncatedReply,
        /// Runs it; bytes are sent that are no reply.
        MalformedReply,
        /// Runs it; the reply is followed by one to another request.
        ExtraReply,
        /// Sends a reply to another request first.
        MismatchedReply,
        /// Runs it; the reply has no length and ends with the connection.
        NoLength,
        /// Runs it; the connection is reset.
        ConnectionReset,
        /// Runs it and fails: 500 with a signature.
        Failure,
        /// Runs it; the reply has no signature.
        Unsigned,
        /// Runs it; the reply says that its body is encoded.
        Encoded,
        /// Does not run it: 503 that says so.
        Shed,
        /// Runs it and never answers.
        NoReply
    };
    using FaultHook = std::function<Fault(const HttpRequestMessage &)>;

    struct Settings
    {
        std::string id;
        std::string service;
        Address address {"127.0.0.1", 0};
        unsigned slots = 3;
        std::size_t queue = 18;
        unsigned maxConnections = 31;
        std::chrono::milliseconds serviceTime {5};
        /// Records in the body of each reply.
        std::size_t records = 4;
        ForwardHeaders headers;
    };

    /// One request that it has begun to work on.
    struct Run
    {
        std::string requestId;
        std::string method;
        std::string target;
        std::string body;
        std::chrono::milliseconds timeLeft {0};
        SteadyTime started {};
        /// Set once the work has ended.
        SteadyTime ended {};
    };

    ShardServer(event_base *loop, const Settings &settings);
    ~ShardServer();
    ShardServer(const ShardServer &) = delete;
    ShardServer &operator=(const ShardServer &) = delete;

    bool listen(Reason &reason);
    /// Closes everything at once, as a crash does.
    void crash();
    const Settings &settings() const { return m_settings; }
    Address address() const { return m_settings.address; }
    void changeFault(FaultHook hook) { m_fault = std::move(hook); }
    void changeServiceTime(std::chrono::milliseconds time) { m_settings.serviceTime = time; }
    /// From now on it answers under another id, as a server does that took over the address.
    void changeId(const std::string &id) { m_settings.id = id; }
    /// Work that is under way goes on no further than this moment while it pauses.
    void pause(std::chrono::milliseconds time);

    const std::vector<Run> &runs() const { return m_runs; }
    /// Requests that came, also those that were not run.
    std::uint64_t arrivals() const { return m_arrivals; }
    std::size_t mostConnections() const { return m_mostConnections; }
    std::size_t busy() const { return m_working; }

private:
    struct Peer;
    struct Job
    {
        Peer *peer = nullptr;
        HttpRequestMessage request;
        std::size_t run = 0;
        Fault fault = Fault::None;
        std::unique_ptr<Timer> timer;
    };

    void accept(int socket);
    void onRequest(Peer &peer, HttpRequestMessage request);
    void begin(Peer &peer, HttpRequestMessage request);
    void beginNext();
    void finish(Job &job);
    void reply(Peer &peer, const HttpRequestMessage &request, Fault fault);
    HttpReplyMessage makeReply(const std::string &requestId) const;
    void refuse(Peer &peer, int status);
    void drop(Peer &peer);
    void remove(Peer &peer);

    event_base *m_loop;
    Settings m_settings;
    FaultHook m_fault = [](const HttpRequestMessage &) { return Fault::None; };
    evconnlistener *m_listener = nullptr;
    std::list<std::unique_ptr<Peer>> m_peers;
    std::list<Job> m_jobs;
    std::deque<std::pair<Peer *, HttpRequestMessage>> m_queued;
    std::vector<Run> m_runs;
    std::uint64_t m_arrivals = 0;
    std::size_t m_mostConnections = 0;
    std::size_t m_working = 0;
    SteadyTime m_pausedUntil {};
    unsigned m_lastReply = 0;
};

} // namespace pimentoward::standins
