#pragma once

#include "standins/KeyValueServer.h"
#include "standins/ShardServer.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// A stand-in deployment as the tier's VMs find it on the platform: the store with the operators'
/// settings, and backend servers that are registered there. All on one loop.
class Site
{
public:
    struct Settings
    {
        Address store {"127.0.0.1", 0};
        /// Name of the host that callers ask.
        std::string host = "site.test";
        std::size_t shards = 5;
        /// Backend servers of each shard.
        std::size_t replicas = 2;
        /// Backend servers of the service that answers alone.
        std::size_t singleReplicas = 3;
        std::chrono::milliseconds serviceTime {5};
        /// Requests in a second that a cold backend server bears; 0 for no bound.
        double coldRequestsPerSecond = 0;
        /// Where VMs find a backend server; its own address where there is no hook.
        std::function<Address(const ShardServer &)> publishedAddress;
        /// Changes each route of the settings document before it is written.
        std::function<void(nlohmann::json &route)> adjustRoute = [](nlohmann::json &) {};
    };

    Site(event_base *loop, const Settings &settings);

    /// Binds the store and all backend servers, and registers them.
    bool start(Reason &reason);
    KeyValueServer &store() { return m_store; }
    std::vector<ShardServer *> servers(const std::string &service);
    std::vector<ShardServer *> allServers();
    /// Starts another backend server and registers it; null where its address cannot be bound.
    ShardServer *addServer(const std::string &service, const std::string &id,
                           const std::string &domain, Reason &reason);
    /// Writes the record of a backend server, which stays cold for `coldLeft`.
    void registerServer(const ShardServer &server, const std::string &domain,
                        const std::string &state,
                        std::chrono::milliseconds coldLeft = std::chrono::milliseconds(0));
    /// Writes the settings with the next version; `change` may alter the document.
    void writeSettings(const std::function<void(nlohmann::json &)> &change = nullptr);

    static std::string shardName(std::size_t index) { return "shard" + std::to_string(index); }
    /// The service that answers alone.
    static constexpr const char *singleService = "single";
    /// Failure domains in turn.
    static const char *domainName(std::size_t index);

private:
    bool addServers(const std::string &service, std::size_t count, Reason &reason);
    nlohmann::json settingsDocument() const;

    event_base *m_loop;
    Settings m_settings;
    KeyValueServer m_store;
    std::vector<std::unique_ptr<ShardServer>> m_servers;
    std::uint64_t m_version = 0;
};

} // namespace pimentoward::standins
