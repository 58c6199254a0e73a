#pragma once

#include "Pimentoward/Connection/HeaderNames.h"
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

/// A stand-in backend server to which the tier forwards requests. It has slots and a queue, signs
/// its replies, can simulate faults, and records which requests it ran.
class ShardServer
{
public:
    /// How the server handles one request.
    enum class Fault {
        None,
        /// Runs the request, sends the reply with half of its body and closes the connection.
        TruncatedReply,
        /// Runs the request and sends bytes that are not an HTTP reply.
        MalformedReply,
        /// Runs the request and sends a reply to another request after the right one.
        ExtraReply,
        /// Runs the request and sends a reply to another request before the right one.
        MismatchedReply,
        /// Runs the request and sends a reply without a length, which ends when the connection
        /// closes.
        NoLength,
        /// Runs the request and resets the connection without a reply.
        ConnectionReset,
        /// Runs the request and sends the right reply, but with the status 000.
        NoStatus,
        /// Runs the request and replies with status 500 and a signature.
        Failure,
        /// Runs the request and sends a reply without a signature.
        Unsigned,
        /// Runs the request and sends a reply that declares an encoded body.
        Encoded,
        /// Does not run the request and replies with status 503 and the header that says that the
        /// request was not run.
        Shed,
        /// Runs the request and never replies.
        NoReply,
        /// Runs the request and sends a reply whose body never ends.
        EndlessBody
    };
    /// Chooses the fault for a request.
    using FaultHook = std::function<Fault(const HttpRequestMessage &)>;

    struct Settings
    {
        std::string id;
        std::string service;
        Address address {"127.0.0.1", 0};
        /// Requests that run at the same time.
        unsigned slots = 3;
        /// Maximum number of requests that wait for a slot.
        std::size_t queue = 18;
        unsigned maxConnections = 31;
        /// Time for which a request occupies a slot.
        std::chrono::milliseconds serviceTime {5};
        /// Records in the body of each reply.
        std::size_t records = 4;
        HeaderNames headers;
    };

    /// One request that the server has begun to run.
    struct Run
    {
        std::string requestId;
        std::string method;
        std::string target;
        std::string body;
        HttpHeaders headers;
        /// Time until the deadline, as the request's header states it.
        std::chrono::milliseconds timeLeft {0};
        SteadyTime started {};
        /// Set when the run has ended.
        SteadyTime ended {};
    };

    /// Length of a record in the body of a reply.
    static constexpr std::size_t recordBytes = 16;
    /// Returns one record of the reply of any replica of `service` to a request. It depends on the
    /// whole request ID, so that records of different requests differ.
    static std::string record(const std::string &service, const std::string &requestId,
                              std::size_t index);

    ShardServer(event_base *loop, const Settings &settings);
    ~ShardServer();
    ShardServer(const ShardServer &) = delete;
    ShardServer &operator=(const ShardServer &) = delete;

    /// Binds the address. If its port is 0, a free port is chosen.
    bool listen(Reason &reason);
    /// Closes the listener and all connections and drops all work, as a crash does.
    void crash();
    const Settings &settings() const { return m_settings; }
    Address address() const { return m_settings.address; }
    /// Sets the hook that chooses the fault of each request.
    void changeFault(FaultHook hook) { m_fault = std::move(hook); }
    void changeServiceTime(std::chrono::milliseconds time) { m_settings.serviceTime = time; }
    /// Changes the number of records in the body of each reply.
    void changeRecords(std::size_t records) { m_settings.records = records; }
    /// Makes the server answer under another ID, as a new server at the same address does.
    void changeId(const std::string &id) { m_settings.id = id; }
    /// States in all replies from now on that the server is about to stop.
    void announceLeaving() { m_isLeaving = true; }
    /// Refuses all requests with status 503 and this value of Retry-After; an empty one ends that.
    void refuseWithRetryAfter(const std::string &value) { m_retryAfter = value; }
    /// Becomes cold for `time`, which its health replies state from now on.
    void becomeCold(std::chrono::milliseconds time);
    /// Pauses all work for `time`. After the pause, requests that are running now need their full
    /// service time again. Requests that begin during the pause wait for its end.
    void pause(std::chrono::milliseconds time);

    const std::vector<Run> &runs() const { return m_runs; }
    /// Number of requests received, including those that were not run. Health checks are not
    /// counted.
    std::uint64_t arrivals() const { return m_arrivals; }
    /// Number of health checks received.
    std::uint64_t healthChecks() const { return m_healthChecks; }
    /// Maximum number of connections that were open at the same time.
    std::size_t peakConnections() const { return m_peakConnections; }
    /// Number of requests that run now.
    std::size_t runningJobs() const { return m_runningJobs; }

private:
    struct Peer;
    /// A request that runs now; `run` is its index in the recorded runs.
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
    void beginNextQueued();
    void finish(Job &job);
    void reply(Peer &peer, const HttpRequestMessage &request, Fault fault);
    HttpReplyMessage makeReply(const std::string &requestId) const;
    HttpReplyMessage makeHealthReply() const;
    /// Replies with `status` and the header that says that the request was not run.
    void refuse(Peer &peer, int status);
    /// Sends more bytes to all peers with an endless reply.
    void writeEndlessReplies();
    /// Cancels the jobs of a peer that has disconnected, and removes it.
    void onDisconnect(Peer &peer);
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
    std::uint64_t m_healthChecks = 0;
    SteadyTime m_coldUntil {};
    std::size_t m_peakConnections = 0;
    std::size_t m_runningJobs = 0;
    SteadyTime m_pausedUntil {};
    unsigned m_lastReply = 0;
    bool m_isLeaving = false;
    std::string m_retryAfter;
    Timer m_endlessTimer;
};

} // namespace pimentoward::standins
