#include "standins/Site.h"

#include "platform/WireNames.h"

namespace pimentoward::standins {

using Json = nlohmann::json;

namespace {

constexpr unsigned maxServerConnections = 31;

Json routeDocument(const std::string &host, const char *prefix, const char *type)
{
    return {{"name", std::string("route-") + prefix},
            {"host", host},
            {"pathPrefix", prefix},
            {"type", type},
            {"timeoutMs", 1000},
            {"targetLatencyMs", 200},
            {"priority", 1},
            {"maxAttempts", 2}};
}

Json serviceDocument(const std::string &name, double coldRequestsPerSecond)
{
    return {{"name", name},
            {"maxConns", maxServerConnections},
            {"healthPath", "/health"},
            {"coldPerS", coldRequestsPerSecond}};
}

} // namespace

Site::Site(event_base *loop, const Settings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_store(loop, KeyValueModel::Settings())
{ }

const char *Site::domainName(std::size_t index)
{
    static constexpr const char *names[] = {"a", "b", "c"};
    return names[index % std::size(names)];
}

bool Site::start(Reason &reason)
{
    if (!m_store.listen(m_settings.store, reason)) {
        return false;
    }
    writeSettings();
    for (std::size_t shard = 0; shard < m_settings.shards; ++shard) {
        if (!addServers(shardName(shard), m_settings.replicas, reason)) {
            return false;
        }
    }
    return addServers(singleService, m_settings.singleReplicas, reason);
}

bool Site::addServers(const std::string &service, std::size_t count, Reason &reason)
{
    for (std::size_t index = 0; index < count; ++index) {
        const std::string id = service + "-" + std::to_string(index);
        if (addServer(service, id, domainName(index), reason) == nullptr) {
            return false;
        }
    }
    return true;
}

ShardServer *Site::addServer(const std::string &service, const std::string &id,
                             const std::string &domain, Reason &reason, const std::string &version)
{
    ShardServer::Settings settings;
    settings.id = id;
    settings.service = service;
    settings.serviceTime = m_settings.serviceTime;
    settings.maxConnections = maxServerConnections;
    settings.headers = platform::wire::headerNames();
    auto server = std::make_unique<ShardServer>(m_loop, settings);
    if (!server->listen(reason)) {
        return nullptr;
    }
    registerServer(*server, domain, "ready", std::chrono::milliseconds(0), version);
    m_servers.push_back(std::move(server));
    return m_servers.back().get();
}

void Site::registerServer(const ShardServer &server, const std::string &domain,
                          const std::string &state, std::chrono::milliseconds coldLeft,
                          const std::string &version)
{
    const Address address
        = m_settings.publishedAddress ? m_settings.publishedAddress(server) : server.address();
    const Json record = {{"service", server.settings().service},
                         {"address", address.toString()},
                         {"zone", domain},
                         {"version", version},
                         {"maxConcurrency", server.settings().slots},
                         {"state", state},
                         {"coldLeftMs", coldLeft.count()},
                         {"born", 1},
                         {"sequence", 1}};
    m_store.put(platform::wire::backendPrefix + server.settings().id, record.dump());
}

Json Site::settingsDocument() const
{
    Json shards = Json::array();
    Json services = Json::array();
    for (std::size_t index = 0; index < m_settings.shards; ++index) {
        shards.push_back(shardName(index));
        services.push_back(serviceDocument(shardName(index), m_settings.coldRequestsPerSecond));
    }
    services.push_back(serviceDocument(singleService, m_settings.coldRequestsPerSecond));
    Json all = routeDocument(m_settings.host, "/all/", "idempotent");
    all["fanout"] = shards;
    all["topK"] = 8;
    all["minShardRatio"] = 0.6;
    Json one = routeDocument(m_settings.host, "/one/", "idempotent");
    one["service"] = singleService;
    Json once = routeDocument(m_settings.host, "/once/", "non_idempotent");
    once["service"] = singleService;
    Json routes = {all, one, once};
    for (Json &entry : routes) {
        m_settings.adjustRoute(entry);
    }
    const Json limits = {{"maxHeaderBytes", 8192},
                         {"maxBodyBytes", 65536},
                         {"headerTimeoutMs", 2000},
                         {"idleTimeoutMs", 5000}};
    return {{"version", m_version}, {"routes", routes}, {"services", services}, {"limits", limits}};
}

void Site::writeSettings(const std::function<void(Json &)> &change)
{
    ++m_version;
    Json document = settingsDocument();
    if (change) {
        change(document);
    }
    m_store.put(platform::wire::settingsKey, document.dump());
}

std::vector<ShardServer *> Site::servers(const std::string &service)
{
    std::vector<ShardServer *> found;
    for (const auto &server : m_servers) {
        if (server->settings().service == service) {
            found.push_back(server.get());
        }
    }
    return found;
}

std::vector<ShardServer *> Site::allServers()
{
    std::vector<ShardServer *> found;
    for (const auto &server : m_servers) {
        found.push_back(server.get());
    }
    return found;
}

} // namespace pimentoward::standins
