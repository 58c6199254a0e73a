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

/// A stand-in for the site that the tier's VMs serve: the store of the platform, which holds the
/// operators' settings, and the backend servers, which are registered in the store. All of them run
/// on one event loop.
class Site
{
public:
    struct Settings
    {
        Address store {"127.0.0.1", 0};
        /// Host name in the requests of callers.
        std::string host = "site.test";
        /// Number of shards. Each shard is a service of its own.
        std::size_t shards = 5;
        /// Backend servers of each shard.
        std::size_t replicas = 2;
        /// Backend servers of the single service.
        std::size_t singleReplicas = 3;
        /// Time for which a request occupies a slot of a backend server.
        std::chrono::milliseconds serviceTime {5};
        /// Maximum number of requests per second to a cold backend server; 0 for no limit.
        double coldRequestsPerSecond = 0;
        /// Returns the address under which a backend server is registered. If this is not set, the
        /// server's own address is used.
        std::function<Address(const ShardServer &)> publishedAddress;
        /// Modifies each route of the settings document before it is written.
        std::function<void(nlohmann::json &route)> adjustRoute = [](nlohmann::json &) {};
    };

    Site(event_base *loop, const Settings &settings);

    /// Binds the store and all backend servers, and registers the backend servers. Returns false
    /// with `reason` if that fails.
    bool start(Reason &reason);
    KeyValueServer &store() { return m_store; }
    /// Returns the backend servers of one service.
    std::vector<ShardServer *> servers(const std::string &service);
    std::vector<ShardServer *> allServers();
    /// Starts another backend server and registers it. Returns null if its address cannot be bound.
    ShardServer *addServer(const std::string &service, const std::string &id,
                           const std::string &domain, Reason &reason,
                           const std::string &version = "v1");
    /// Writes the record of a backend server to the store, with the remaining time of its cold
    /// start.
    void registerServer(const ShardServer &server, const std::string &domain,
                        const std::string &state,
                        std::chrono::milliseconds coldLeft = std::chrono::milliseconds(0),
                        const std::string &version = "v1");
    /// Writes the settings document with the next version; `change` may modify it first.
    void writeSettings(const std::function<void(nlohmann::json &)> &change = nullptr);

    static std::string shardName(std::size_t index) { return "shard" + std::to_string(index); }
    /// The single service: one backend server answers a request, without a fan-out.
    static constexpr const char *singleService = "single";
    /// Returns the name of one of the three failure domains, in rotation.
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
