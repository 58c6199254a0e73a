#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Version/IndexSchedule.h"
#include "Pimentoward/Version/ShardMap.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// What the service description states about one backend server.
struct BackendServer
{
    BackendServerId id;
    Address address;
    FailureDomain failureDomain;
    /// Maximum number of requests that it processes at a time after its warm-up.
    int slots = 1;
    /// Maximum number of connections that it accepts from all VMs together.
    int connections = 1;
    /// Time that opening a connection costs the backend server.
    std::chrono::milliseconds connectionCost {0};
    /// True if the backend server is announced as leaving: it is about to stop and gets no new
    /// work.
    bool leaving = false;
};

/// One index version of a service.
struct IndexVersionEntry
{
    IndexVersion version = 0;
    /// Queries may use the version from this time on, unless the schedule states another.
    WallTime releaseTime {};
    /// True if the planning office has withdrawn the version.
    bool withdrawn = false;
    std::shared_ptr<const ShardMap> shards;
};

/// The description of a service: its backend servers and index versions. It is read from the store
/// key "service/NAME", which the planning office and the deployment write.
struct ServiceCatalog
{
    ServiceName name;
    std::map<BackendServerId, BackendServer> backendServers;
    /// Sorted by version in ascending order.
    std::vector<IndexVersionEntry> versions;
    /// Takes precedence over the versions' own release times.
    IndexSchedule schedule;

    /// True if new queries may use the version at `time`.
    bool isReleased(const IndexVersionEntry &entry, WallTime time) const;
    /// True if the backend server is not announced as leaving and the schedule allows it new work.
    /// Operators' exceptions are checked separately by SettingsDocument::isOutOfService().
    bool canAcceptNewWork(const BackendServer &server, WallTime time) const;

    /// Parses the stored JSON text. Fails with InvalidMessage and a text that names the invalid
    /// element.
    static std::optional<ServiceCatalog> parse(const std::string &json, Reason &reason);
    /// Writes the catalog in the format that parse() reads.
    std::string toJson() const;
};

} // namespace pimentoward
