#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/BackendServerModel.h"
#include "standins/RecordSet.h"

#include <map>
#include <memory>

namespace pimentoward::standins {

/// The HTTP interface of one stand-in backend server (docs/INTERFACES.md, "Backend servers").
class BackendServerProcess
{
public:
    BackendServerProcess(event_base *loop, BackendServer description, ServiceCatalog catalog,
                         std::shared_ptr<const RecordSet> records,
                         const BackendServerModel::Settings &settings);

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

    void run(const HttpRequest &request, const HttpServer::Responder &respond);
    void cancel(const HttpRequest &request, const HttpServer::Responder &respond);
    void finish(const std::string &requestId, bool whole);
    HttpAnswer readRecords(const HttpRequest &request, const KeyRange &range) const;
    const Shard *findShard(const ShardName &name, IndexVersion version) const;
    HttpAnswer dumpRecords() const;

    event_base *m_loop;
    SystemClock m_clock;
    BackendServer m_description;
    ServiceCatalog m_catalog;
    std::shared_ptr<const RecordSet> m_records;
    BackendServerModel m_model;
    std::map<std::string, Running> m_running;
    HttpServer m_http;
};

} // namespace pimentoward::standins
