#include "Pimentoward/Version/ServiceCatalog.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

BackendServer readBackendServer(const Json &json)
{
    BackendServer server;
    server.id = json.at("id").get<std::string>();
    server.address = {json.at("host").get<std::string>(), json.at("port").get<std::uint16_t>()};
    server.failureDomain = json.at("failureDomain").get<std::string>();
    server.slots = json.at("slots").get<int>();
    server.connections = json.at("connections").get<int>();
    server.connectionCost = std::chrono::milliseconds(json.value("connectionCostMs", 0));
    server.leaving = json.value("leaving", false);
    return server;
}

Json writeBackendServer(const BackendServer &server)
{
    return {{"id", server.id},
            {"host", server.address.host},
            {"port", server.address.port},
            {"failureDomain", server.failureDomain},
            {"slots", server.slots},
            {"connections", server.connections},
            {"connectionCostMs", server.connectionCost.count()},
            {"leaving", server.leaving}};
}

std::optional<IndexVersionEntry> readVersion(const Json &json, Reason &reason)
{
    std::vector<Shard> shards;
    for (const Json &item : json.at("shards")) {
        shards.push_back(
            {item.at("name").get<std::string>(),
             {item.at("first").get<std::uint64_t>(), item.at("end").get<std::uint64_t>()},
             item.at("replicas").get<std::vector<std::string>>()});
    }
    auto map = ShardMap::build(std::move(shards), reason);
    if (!map) {
        return std::nullopt;
    }
    IndexVersionEntry entry;
    entry.version = json.at("version").get<IndexVersion>();
    entry.releaseTime
        = WallTime(std::chrono::milliseconds(json.at("releaseMs").get<std::int64_t>()));
    entry.withdrawn = json.value("withdrawn", false);
    entry.shards = std::make_shared<const ShardMap>(std::move(*map));
    return entry;
}

Json writeVersion(const IndexVersionEntry &entry)
{
    Json shards = Json::array();
    for (const Shard &shard : entry.shards->shards()) {
        shards.push_back({{"name", shard.name},
                          {"first", shard.range.first},
                          {"end", shard.range.end},
                          {"replicas", shard.replicas}});
    }
    const auto releaseMs = std::chrono::duration_cast<std::chrono::milliseconds>(
        entry.releaseTime.time_since_epoch());
    return {{"version", entry.version},
            {"releaseMs", releaseMs.count()},
            {"withdrawn", entry.withdrawn},
            {"shards", std::move(shards)}};
}

bool replicasAreKnown(const ServiceCatalog &catalog, Reason &reason)
{
    for (const IndexVersionEntry &entry : catalog.versions) {
        for (const Shard &shard : entry.shards->shards()) {
            for (const BackendServerId &replica : shard.replicas) {
                if (catalog.backendServers.count(replica) == 0) {
                    reason = {ResultCode::InvalidMessage,
                              "shard '" + shard.name + "' names the unknown backend server '"
                                  + replica + "'"};
                    return false;
                }
            }
        }
    }
    return true;
}

} // namespace

std::optional<ServiceCatalog> ServiceCatalog::parse(const std::string &json, Reason &reason)
{
    try {
        const Json root = Json::parse(json);
        ServiceCatalog catalog;
        catalog.name = root.at("name").get<std::string>();
        for (const Json &item : root.at("backendServers")) {
            BackendServer server = readBackendServer(item);
            catalog.backendServers[server.id] = std::move(server);
        }
        for (const Json &item : root.at("versions")) {
            auto entry = readVersion(item, reason);
            if (!entry) {
                return std::nullopt;
            }
            catalog.versions.push_back(std::move(*entry));
        }
        std::sort(catalog.versions.begin(), catalog.versions.end(),
                  [](const auto &a, const auto &b) { return a.version < b.version; });
        if (!replicasAreKnown(catalog, reason)) {
            return std::nullopt;
        }
        return catalog;
    } catch (const Json::exception &error) {
        reason = {ResultCode::InvalidMessage,
                  std::string("the service description is unusable: ") + error.what()};
        return std::nullopt;
    }
}

std::string ServiceCatalog::toJson() const
{
    Json servers = Json::array();
    for (const auto &[id, server] : backendServers) {
        servers.push_back(writeBackendServer(server));
    }
    Json entries = Json::array();
    for (const IndexVersionEntry &entry : versions) {
        entries.push_back(writeVersion(entry));
    }
    return Json {
        {"name", name}, {"backendServers", std::move(servers)}, {"versions", std::move(entries)}}
        .dump();
}

} // namespace pimentoward
