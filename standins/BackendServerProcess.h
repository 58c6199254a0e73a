#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/BackendServerModel.h"
#include "standins/RecordSet.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

struct evhttp_connection;

namespace pimentoward::standins {

/// The HTTP interface of one stand-in backend server (docs/INTERFACES.md, "Backend servers"). It
/// has additional endpoints for tests: GET /records, GET /stats and POST /control.
class BackendServerProcess
{
public:
    BackendServerProcess(event_base *loop, BackendServer description, ServiceCatalog catalog,
                         std::shared_ptr<const RecordSet> records,
                         const BackendServerModel::Settings &settings);
    ~BackendServerProcess();
    BackendServerProcess(const BackendServerProcess &) = delete;
    BackendServerProcess &operator=(const BackendServerProcess &) = delete;

    bool listen(Reason &reason) { return m_http.listen(m_description.address, reason); }
    const BackendServer &description() const { return m_description; }
    BackendServerModel &model() { return m_model; }

private:
    /// A request that is running, and the reply that is sent when its timer fires.
    struct Running
    {
        std::unique_ptr<Timer> timer;
        HttpServer::Responder respond;
        HttpAnswer reply;
    };
    /// A reply that has not been sent.
    struct Withheld
    {
        HttpServer::Responder respond;
        HttpAnswer reply;
    };

    void addRoutes();
    /// Handles POST /run: checks the request and starts it, or refuses it.
    void run(const HttpRequest &request, const HttpServer::Responder &respond);
    /// Starts a checked request, which ends after its service time or at its deadline.
    void begin(const HttpRequest &request, const Shard &shard,
               const HttpServer::Responder &respond);
    /// Handles POST /cancel, which stops a running request.
    void cancel(const HttpRequest &request, const HttpServer::Responder &respond);
    /// Handles POST /control, which changes the behaviour of the server. Every key is optional.
    HttpAnswer control(const std::string &body);
    /// Ends a run and sends its reply.
    void finish(const std::string &requestId, bool finished);
    /// Sends a reply, unless replies are currently frozen or this one is dropped.
    void reply(const HttpServer::Responder &respond, HttpAnswer reply);
    /// Sends all frozen replies.
    void releaseFrozen();
    /// Simulates a restart: closes all connections except m_currentConnection and drops the replies
    /// of running requests.
    void restart();
    void trackConnection(evhttp_connection *connection);
    bool isVersionGone(IndexVersion version) const { return m_goneVersions.count(version) > 0; }
    /// The reply to a finished request: the matching records within the key range of its shard.
    HttpAnswer readRecords(const HttpRequest &request, const KeyRange &range) const;
    /// The shard of an index version, or null if this server holds no replica of it.
    const Shard *findShard(const ShardName &name, IndexVersion version) const;
    HttpAnswer dumpRecords() const;
    HttpAnswer dumpStatistics() const;

    event_base *m_loop;
    SystemClock m_clock;
    BackendServer m_description;
    ServiceCatalog m_catalog;
    std::shared_ptr<const RecordSet> m_records;
    BackendServerModel m_model;
    std::map<std::string, Running> m_running;
    /// Idempotency keys by request ID, empty if the request had none. GET /records returns them.
    std::map<std::string, std::string> m_idempotencyKeys;
    /// Open connections that have carried a request.
    std::set<evhttp_connection *> m_connections;
    std::size_t m_peakConnections = 0;
    std::uint64_t m_connectionsOpened = 0;
    std::uint64_t m_connectionsRefused = 0;
    /// Connection of the request that is being handled. A restart leaves it open, so that
    /// POST /control can be answered.
    evhttp_connection *m_currentConnection = nullptr;
    /// True if the request that is being handled is the first on its connection.
    bool m_isNewConnection = false;
    bool m_leaving = false;
    bool m_healthy = true;
    bool m_frozen = false;
    /// Share of replies, from 0 to 1, that are never sent.
    double m_dropShare = 0;
    std::mt19937 m_random;
    std::set<IndexVersion> m_goneVersions;
    /// Replies that are sent when the freeze ends.
    std::vector<Withheld> m_frozenReplies;
    /// Replies that are never sent. Only the destructor hands them to libevent.
    std::vector<Withheld> m_droppedReplies;
    HttpServer m_http;
};

} // namespace pimentoward::standins
