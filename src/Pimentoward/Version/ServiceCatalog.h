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

/// What the tier knows of one backend server before it has talked to it.
struct BackendServer
{
    BackendServerId id;
    Address address;
    FailureDomain failureDomain;
    /// Requests that it bears at a time when warm.
    int slots = 1;
    /// Connections that it accepts over all VMs.
    int connections = 1;
    /// Time that a new connection costs it.
    std::chrono::milliseconds connectionCost {0};
    /// True where it is announced as leaving: no new work.
    bool leaving = false;
};

/// One index version of a service.
struct IndexVersionEntry
{
    IndexVersion version = 0;
    /// Queries may use the version from this time on.
    WallTime releaseTime {};
    /// True where the planning office has withdrawn it.
    bool withdrawn = false;
    std::shared_ptr<const ShardMap> shards;
};

/// A service as the store describes it: its backend servers and index versions.
/// Source: store key "service/NAME", written by the planning office and the deployment.
struct ServiceCatalog
{
    ServiceName name;
    std::map<BackendServerId, BackendServer> backendServers;
    /// In rising order of version.
    std::vector<IndexVersionEntry> versions;
    /// Goes before the versions' own release times.
    IndexSchedule schedule;

    /// True where queries may begin on the version at `time`.
    bool isReleased(const IndexVersionEntry &entry, WallTime time) const;
    /// True where neither an announcement nor the schedule keeps new work from the backend server.
    /// Operators' exceptions come besides: SettingsDocument::isOut().
    bool mayTakeNewWork(const BackendServer &server, WallTime time) const;

    /// Reads the stored JSON text. Fails with InvalidMessage and names what is wrong.
    static std::optional<ServiceCatalog> parse(const std::string &json, Reason &reason);
    /// The text that parse() reads.
    std::string toJson() const;
};

} // namespace pimentoward
