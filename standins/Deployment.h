#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/Store.h"
#include "Pimentoward/Version/ServiceCatalog.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// One service of a deployment file: its shape and the records that its backend servers hold.
struct ServiceShape
{
    ServiceName name;
    /// "badges" or "stock".
    std::string recordKind;
    std::size_t records = 0;
    std::size_t shards = 0;
    std::size_t replicas = 0;
    int slots = 1;
    int connections = 1;
    std::chrono::milliseconds connectionCost {0};
    /// Port of the first backend server; the next ones count up.
    std::uint16_t firstPort = 0;
    /// Mean service time of one subrequest.
    std::chrono::microseconds serviceTime {0};
    std::uint32_t seed = 1;
};

/// One failure domain and the IPv4 number of its backend servers.
struct DomainShape
{
    FailureDomain name;
    std::string host;
};

/// A test deployment read from a JSON file: VMs, failure domains and services. Both stand-ins read
/// the same file, so that the store's catalog fits the backend servers.
struct Deployment
{
    std::vector<DomainShape> failureDomains;
    std::vector<VmRecord> vms;
    std::vector<ServiceShape> services;

    /// Reads a file; fails with InvalidSetting and names what is wrong.
    static std::optional<Deployment> load(const std::string &path, Reason &reason);
    /// Reads the text of such a file.
    static std::optional<Deployment> parse(const std::string &json, Reason &reason);
    /// What the store holds for the service: equal shards, replica r of shard s in failure domain
    /// (s + r) modulo their number, one released version.
    ServiceCatalog catalog(const ServiceShape &shape, IndexVersion version) const;
};

} // namespace pimentoward::standins
