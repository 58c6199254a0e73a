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

/// The HTTP interface of one stand-in backend server (docs/INTERFACES.md, "Backend servers"), with
/// endpoints for tests: GET /records, GET /stats and POST /control.
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
    /// One request at work.
    struct Running
    {
        std::unique_ptr<Timer> timer;
        HttpServer::Responder respond;
        HttpAnswer answer;
    };
    /// An answer that is kept back.
    struct Withheld
    {
        HttpServer::Responder respond;
        HttpAnswer answer;
    };

    void addRoutes();
    void run(const HttpRequest &request, const HttpServer::Responder &respond);
    void begin(const HttpRequest &request, const Shard &shard,
               const HttpServer::Responder &respond);
    void cancel(const HttpRequest &request, const HttpServer::Responder &respond);
    /// Reads POST /control; every key is optional.
    HttpAnswer control(const std::string &body);
    void finish(const std::string &requestId, bool whole);
    void answer(const HttpServer::Responder &respond, HttpAnswer answer);
    void releaseFrozen();
    void restart();
    void noteConnection(evhttp_connection *connection);
    bool isVersionGone(IndexVersion version) const { return m_goneVersions.count(version) > 0; }
    HttpAnswer readRecords(const HttpRequest &request, const KeyRange &range) const;
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
    /// Of runs that have one, by request id; kept for GET /records.
    std::map<std::string, std::string> m_idempotencyKeys;
    /// Open connections that have carried a request.
    std::set<evhttp_connection *> m_connections;
    std::size_t m_mostConnections = 0;
    std::uint64_t m_connectionsOpened = 0;
    std::uint64_t m_connectionsRefused = 0;
    /// That of the request at hand; a restart spares it, so that POST /control is answered.
    evhttp_connection *m_connectionAtHand = nullptr;
    /// True while the request at hand is the first on its connection.
    bool m_isNewConnection = false;
    bool m_leaving = false;
    bool m_healthy = true;
    bool m_frozen = false;
    double m_dropShare = 0;
    std::mt19937 m_random;
    std::set<IndexVersion> m_goneVersions;
    std::vector<Withheld> m_frozenAnswers;
    std::vector<Withheld> m_droppedAnswers;
    HttpServer m_http;
};

} // namespace pimentoward::standins
