#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/Store.h"
#include "Pimentoward/Version/ServiceCatalog.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// One service of a deployment file: the numbers of its shards and replicas, the limits of its
/// backend servers, and the records that they hold.
struct ServiceSpec
{
    ServiceName name;
    /// Kind of records: "badges" or "stock".
    std::string recordKind;
    std::size_t records = 0;
    std::size_t shards = 0;
    std::size_t replicas = 0;
    int slots = 1;
    int connections = 1;
    std::chrono::milliseconds connectionCost {0};
    /// Port of the first backend server; the following servers use the following ports.
    std::uint16_t firstPort = 0;
    /// Mean service time of one subrequest.
    std::chrono::microseconds serviceTime {0};
    std::uint32_t seed = 1;
};

/// One failure domain and the IPv4 address of its backend servers.
struct FailureDomainSpec
{
    FailureDomain name;
    std::string host;
};

/// A test deployment read from a JSON file: VMs, failure domains and services. The stand-in
/// platform and the stand-in backend servers read the same file, so that the catalog in the store
/// matches the backend servers.
struct Deployment
{
    std::vector<FailureDomainSpec> failureDomains;
    std::vector<VmRecord> vms;
    std::vector<ServiceSpec> services;

    /// Reads a deployment file. On failure, returns nothing and sets `reason` to InvalidSetting
    /// with a text that describes the error.
    static std::optional<Deployment> load(const std::string &path, Reason &reason);
    /// Parses the content of a deployment file. Fails as load() does.
    static std::optional<Deployment> parse(const std::string &json, Reason &reason);
    /// Returns the catalog that the store holds for a service: shards of equal size, one released
    /// version, and replica r of shard s in failure domain (s + r) modulo the number of domains.
    ServiceCatalog catalog(const ServiceSpec &serviceSpec, IndexVersion version) const;
};

} // namespace pimentoward::standins
