#include "standins/Deployment.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

std::string twoDigits(std::size_t number)
{
    constexpr std::size_t base = 10;
    return (number < base ? "0" : "") + std::to_string(number);
}

ServiceSpec readServiceSpec(const Json &json)
{
    ServiceSpec serviceSpec;
    serviceSpec.name = json.at("name").get<std::string>();
    serviceSpec.recordKind = json.at("recordKind").get<std::string>();
    serviceSpec.records = json.at("records").get<std::size_t>();
    serviceSpec.shards = json.at("shards").get<std::size_t>();
    serviceSpec.replicas = json.at("replicas").get<std::size_t>();
    serviceSpec.slots = json.at("slots").get<int>();
    serviceSpec.connections = json.at("connections").get<int>();
    serviceSpec.connectionCost = std::chrono::milliseconds(json.at("connectionCostMs").get<int>());
    serviceSpec.firstPort = json.at("firstPort").get<std::uint16_t>();
    serviceSpec.serviceTime = std::chrono::microseconds(json.at("serviceTimeMicros").get<int>());
    serviceSpec.seed = json.at("seed").get<std::uint32_t>();
    return serviceSpec;
}

} // namespace

std::optional<Deployment> Deployment::load(const std::string &path, Reason &reason)
{
    std::ifstream file(path);
    if (!file) {
        reason = {ResultCode::InvalidSetting, "cannot read the deployment file '" + path + "'"};
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), reason);
}

std::optional<Deployment> Deployment::parse(const std::string &json, Reason &reason)
{
    try {
        const Json root = Json::parse(json);
        Deployment deployment;
        for (const Json &item : root.at("failureDomains")) {
            deployment.failureDomains.push_back(
                {item.at("name").get<std::string>(), item.at("host").get<std::string>()});
        }
        for (const Json &item : root.at("vms")) {
            deployment.vms.push_back({item.at("id").get<std::string>(),
                                      item.at("host").get<std::string>(),
                                      item.at("failureDomain").get<std::string>(), false});
        }
        for (const Json &item : root.at("services")) {
            deployment.services.push_back(readServiceSpec(item));
        }
        if (deployment.failureDomains.empty()) {
            reason = {ResultCode::InvalidSetting, "the deployment file has no failure domain"};
            return std::nullopt;
        }
        return deployment;
    } catch (const Json::exception &error) {
        reason = {ResultCode::InvalidSetting,
                  std::string("cannot parse the deployment file: ") + error.what()};
        return std::nullopt;
    }
}

ServiceCatalog Deployment::catalog(const ServiceSpec &serviceSpec, IndexVersion version) const
{
    ServiceCatalog catalog;
    catalog.name = serviceSpec.name;
    std::vector<Shard> shards;
    for (std::size_t s = 0; s < serviceSpec.shards; ++s) {
        Shard shard;
        shard.name = serviceSpec.name + "/" + twoDigits(s);
        shard.range.first = KeyRange::keySpaceSize * s / serviceSpec.shards;
        shard.range.end = KeyRange::keySpaceSize * (s + 1) / serviceSpec.shards;
        for (std::size_t r = 0; r < serviceSpec.replicas; ++r) {
            const FailureDomainSpec &domain = failureDomains[(s + r) % failureDomains.size()];
            BackendServer server;
            server.id = shard.name + "-" + std::to_string(r);
            server.address = {
                domain.host,
                static_cast<std::uint16_t>(serviceSpec.firstPort + s * serviceSpec.replicas + r)};
            server.failureDomain = domain.name;
            server.slots = serviceSpec.slots;
            server.connections = serviceSpec.connections;
            server.connectionCost = serviceSpec.connectionCost;
            shard.replicas.push_back(server.id);
            catalog.backendServers[server.id] = server;
        }
        shards.push_back(std::move(shard));
    }
    Reason reason;
    auto map = ShardMap::build(std::move(shards), reason);
    catalog.versions.push_back(
        {version, WallTime {}, false, std::make_shared<const ShardMap>(std::move(*map))});
    return catalog;
}

} // namespace pimentoward::standins
