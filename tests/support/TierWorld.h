#pragma once

#include "Pimentoward/Connection/BackendConnection.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/Discovery.h"
#include "Pimentoward/Process/ServingTask.h"
#include "platform/StoreClient.h"
#include "standins/KeyValueServer.h"
#include "standins/ShardServer.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// One VM of the tier with its real serving task, and discovery on the test's own loop.
class TierNode
{
public:
    using Adjust = std::function<void(pimentoward::ServingTaskSettings &)>;

    TierNode(event_base *loop, const std::string &name, const std::string &domain,
             const pimentoward::Address &store, const Adjust &adjust);
    ~TierNode();

    pimentoward::Address address() const { return m_settings.callerListen; }
    pimentoward::ServingTask &serving() { return *m_serving; }
    /// True once settings, backend servers and at least `members` VMs are known.
    bool knowsAll(std::size_t backends, std::size_t members) const;
    pimentoward::Revision settingsVersion() const { return m_version; }
    std::size_t backends() const { return m_backends; }
    std::size_t members() const { return m_members; }

private:
    pimentoward::SystemClock m_clock;
    pimentoward::ServingTaskSettings m_settings;
    std::unique_ptr<pimentoward::ServingTask> m_serving;
    platform::StoreClient m_store;
    pimentoward::Discovery m_discovery;
    pimentoward::Revision m_version = 0;
    std::size_t m_backends = 0;
    std::size_t m_members = 0;
};

/// A small deployment on the platform's interfaces: a stand-in store, stand-in backend servers and
/// some VMs, with callers. Everything but the VMs' serving tasks runs on one loop.
class TierWorld
{
public:
    struct Settings
    {
        std::size_t shards = 5;
        std::size_t replicas = 2;
        std::size_t singles = 3;
        std::size_t vms = 1;
        TierNode::Adjust adjust = [](pimentoward::ServingTaskSettings &) {};
        /// Changes each route of the settings document before it is written.
        std::function<void(nlohmann::json &route)> adjustRoute = [](nlohmann::json &) {};
    };

    /// What became of a caller's request.
    struct Outcome
    {
        std::string requestId;
        bool isEnded = false;
        /// 0 where the connection ended without an answer.
        int status = 0;
        pimentoward::HttpReplyMessage reply;
        std::chrono::milliseconds took {0};
    };
    struct Request
    {
        std::string method = "GET";
        std::string path = "/all/x";
        std::string body;
        std::chrono::milliseconds timeLeft {1000};
        std::size_t vm = 0;
        /// The caller leaves after this time; 0: it stays.
        std::chrono::milliseconds leaveAfter {0};
    };

    explicit TierWorld(const Settings &settings);
    ~TierWorld();

    event_base *loop() const { return m_loop; }
    pimentoward::standins::KeyValueServer &store() { return *m_store; }
    TierNode &vm(std::size_t index) { return *m_vms.at(index); }
    /// Backend servers of one service.
    std::vector<pimentoward::standins::ShardServer *> servers(const std::string &service);
    std::vector<pimentoward::standins::ShardServer *> allServers();
    /// Starts another backend server and registers it.
    pimentoward::standins::ShardServer &addServer(const std::string &service, const std::string &id,
                                                  const std::string &domain,
                                                  const pimentoward::Address &address);
    /// Writes the record of a backend server.
    void registerServer(const pimentoward::standins::ShardServer &server, const std::string &domain,
                        const std::string &state);
    /// Writes the settings with the next version; `change` may alter the document.
    void writeSettings(const std::function<void(nlohmann::json &)> &change = nullptr);
    void stopVm(std::size_t index) { m_vms.at(index).reset(); }
    void startVm(std::size_t index);
    /// Runs until every VM knows all backend servers and VMs.
    bool waitUntilKnown();

    /// Sends a request; the outcome is filled in while the loop runs.
    Outcome &send(const Request &request);
    /// Sends a request and runs until it has ended.
    Outcome ask(const Request &request);
    /// Runs for a time, or until all requests sent have ended.
    void run(std::chrono::milliseconds time);
    void runUntilEnded();

    static std::string shardName(std::size_t index) { return "shard" + std::to_string(index); }
    static const char *domainName(std::size_t index);

private:
    struct Caller;

    nlohmann::json settingsDocument() const;

    Settings m_settings;
    event_base *m_loop;
    std::unique_ptr<pimentoward::standins::KeyValueServer> m_store;
    std::vector<std::unique_ptr<pimentoward::standins::ShardServer>> m_servers;
    std::vector<std::unique_ptr<TierNode>> m_vms;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::uint64_t m_version = 0;
    std::size_t m_lastRequest = 0;
};
