#include "Pimentoward/Version/ServiceCatalog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <type_traits>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

/// Reads an integer field. Throws an exception that names the field if it is not an integer from
/// `minValue` to `maxValue`.
template <typename Number>
Number readNumber(const Json &json, const char *name, Number minValue, Number maxValue)
{
    const Json &field = json.at(name);
    const bool isInteger
        = field.is_number_unsigned() || (std::is_signed_v<Number> && field.is_number_integer());
    const bool isInRange
        = isInteger && field.get<long double>() >= minValue && field.get<long double>() <= maxValue;
    if (!isInRange) {
        throw Json::out_of_range::create(
            0,
            std::string("field '") + name + "' must be a whole number from "
                + std::to_string(minValue) + " to " + std::to_string(maxValue),
            &json);
    }
    return field.get<Number>();
}

/// Largest accepted version number and change number.
constexpr std::uint64_t maxNumber = std::numeric_limits<std::int64_t>::max();

BackendServer readBackendServer(const Json &json)
{
    constexpr int maxSlots = 100'000;
    constexpr int maxConnections = 1'000'000;
    constexpr int maxCostMs = 600'000;
    BackendServer server;
    server.id = json.at("id").get<std::string>();
    server.address
        = {json.at("host").get<std::string>(), readNumber<std::uint16_t>(json, "port", 1, 65535)};
    server.failureDomain = json.at("failureDomain").get<std::string>();
    server.slots = readNumber(json, "slots", 1, maxSlots);
    server.connections = readNumber(json, "connections", 1, maxConnections);
    if (json.contains("connectionCostMs")) {
        server.connectionCost
            = std::chrono::milliseconds(readNumber(json, "connectionCostMs", 0, maxCostMs));
    }
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

WallTime readTime(const Json &json, const char *name)
{
    // Almost 300 years, so that the conversion to the clock's ticks does not overflow 64 bits.
    constexpr std::int64_t maxMs = 9'000'000'000'000;
    return WallTime(std::chrono::milliseconds(readNumber(json, name, -maxMs, maxMs)));
}

std::int64_t writeTime(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

std::optional<IndexVersionEntry> readVersion(const Json &json, Reason &reason)
{
    std::vector<Shard> shards;
    for (const Json &item : json.at("shards")) {
        shards.push_back({item.at("name").get<std::string>(),
                          {readNumber<std::uint64_t>(item, "first", 0, KeyRange::keySpaceSize),
                           readNumber<std::uint64_t>(item, "end", 0, KeyRange::keySpaceSize)},
                          item.at("replicas").get<std::vector<std::string>>()});
    }
    auto map = ShardMap::build(std::move(shards), reason);
    if (!map) {
        return std::nullopt;
    }
    IndexVersionEntry entry;
    entry.version = readNumber<IndexVersion>(json, "version", 0, maxNumber);
    entry.releaseTime = readTime(json, "releaseMs");
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
    return {{"version", entry.version},
            {"releaseMs", writeTime(entry.releaseTime)},
            {"withdrawn", entry.withdrawn},
            {"shards", std::move(shards)}};
}

/// A kind of schedule entries and its name in the JSON text.
struct KindName
{
    ScheduleEntry::Kind kind;
    const char *name;
};

constexpr KindName kindNames[] = {
    {ScheduleEntry::Kind::VersionRelease, "version-release"},
    {ScheduleEntry::Kind::BackendServerInService, "backend-server-in-service"},
    {ScheduleEntry::Kind::FailureDomainOut, "failure-domain-out"},
};

ScheduleEntry::Kind readKind(const Json &json)
{
    const auto name = json.get<std::string>();
    for (const KindName &known : kindNames) {
        if (name == known.name) {
            return known.kind;
        }
    }
    throw Json::other_error::create(0, "unknown kind of schedule entry '" + name + "'", &json);
}

const char *kindName(ScheduleEntry::Kind kind)
{
    for (const KindName &known : kindNames) {
        if (kind == known.kind) {
            return known.name;
        }
    }
    return "";
}

ScheduleEntry readScheduleEntry(const Json &json)
{
    ScheduleEntry entry;
    entry.id = json.at("id").get<std::string>();
    if (json.contains("change")) {
        entry.change = readNumber<std::uint64_t>(json, "change", 0, maxNumber);
    }
    entry.kind = readKind(json.at("kind"));
    entry.target = json.at("target").get<std::string>();
    entry.from = readTime(json, "fromMs");
    if (json.contains("untilMs")) {
        entry.until = readTime(json, "untilMs");
    }
    entry.withdrawn = json.value("withdrawn", false);
    return entry;
}

Json writeScheduleEntry(const ScheduleEntry &entry)
{
    Json json {{"id", entry.id},
               {"change", entry.change},
               {"kind", kindName(entry.kind)},
               {"target", entry.target},
               {"fromMs", writeTime(entry.from)},
               {"withdrawn", entry.withdrawn}};
    if (entry.until) {
        json["untilMs"] = writeTime(*entry.until);
    }
    return json;
}

bool readSchedule(const Json &root, ServiceCatalog &catalog, Reason &reason)
{
    std::vector<ScheduleEntry> entries;
    if (const auto list = root.find("schedule"); list != root.end()) {
        for (const Json &item : *list) {
            entries.push_back(readScheduleEntry(item));
        }
    }
    auto schedule = IndexSchedule::build(entries, reason);
    if (schedule) {
        catalog.schedule = std::move(*schedule);
    }
    return schedule.has_value();
}

/// Checks that no name, ID or failure domain is empty and that no version is listed twice, because
/// the rest of the code relies on that.
bool isValid(const ServiceCatalog &catalog, Reason &reason)
{
    const auto refuse = [&](const std::string &problem) {
        reason = {ResultCode::InvalidMessage, "the service description is invalid: " + problem};
        return false;
    };
    if (catalog.name.empty()) {
        return refuse("the service has no name");
    }
    for (const auto &[id, server] : catalog.backendServers) {
        if (id.empty() || server.failureDomain.empty()) {
            return refuse("backend server '" + id + "' must have an id and a failure domain");
        }
    }
    const auto &versions = catalog.versions;
    const auto duplicate
        = std::adjacent_find(versions.begin(), versions.end(),
                             [](const auto &a, const auto &b) { return a.version == b.version; });
    if (duplicate != versions.end()) {
        return refuse("version " + std::to_string(duplicate->version) + " is listed twice");
    }
    return true;
}

bool areReplicasKnown(const ServiceCatalog &catalog, Reason &reason)
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
            const BackendServerId id = server.id;
            if (!catalog.backendServers.emplace(id, std::move(server)).second) {
                reason
                    = {ResultCode::InvalidMessage, "backend server '" + id + "' is listed twice"};
                return std::nullopt;
            }
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
        if (!isValid(catalog, reason) || !areReplicasKnown(catalog, reason)
            || !readSchedule(root, catalog, reason)) {
            return std::nullopt;
        }
        return catalog;
    } catch (const Json::exception &error) {
        reason = {ResultCode::InvalidMessage,
                  std::string("the service description is invalid: ") + error.what()};
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
    Json scheduled = Json::array();
    for (const ScheduleEntry &entry : schedule.entries()) {
        scheduled.push_back(writeScheduleEntry(entry));
    }
    return Json {{"name", name},
                 {"backendServers", std::move(servers)},
                 {"versions", std::move(entries)},
                 {"schedule", std::move(scheduled)}}
        .dump();
}

bool ServiceCatalog::isReleased(const IndexVersionEntry &entry, WallTime time) const
{
    const auto scheduled = schedule.isReleased(entry.version, time);
    return !entry.withdrawn && scheduled.value_or(entry.releaseTime <= time);
}

bool ServiceCatalog::canAcceptNewWork(const BackendServer &server, WallTime time) const
{
    return !server.leaving && schedule.canAcceptNewWork(server.id, server.failureDomain, time);
}

} // namespace pimentoward
