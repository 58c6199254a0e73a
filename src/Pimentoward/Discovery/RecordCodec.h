#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Rollout/RolloutRecords.h"
#include "Pimentoward/Version/BackendRecord.h"
#include "Pimentoward/Version/RouteTable.h"

#include <functional>
#include <optional>
#include <string>

namespace pimentoward {

/// The keys of the records about roll-outs, and the functions that read and write the records.
/// Without prefixes no roll-outs are followed.
struct RolloutCodec
{
    /// Prefix of the operators' orders; the service follows it.
    std::string orderPrefix;
    /// Prefix of the status of each roll-out; the service follows it.
    std::string statusPrefix;
    /// Prefix of the reports of the tier's VMs.
    std::string reportPrefix;
    /// Reads an order. Returns nothing, with a reason, if it is invalid.
    std::function<std::optional<RolloutOrder>(const std::string &value, Reason &)> readOrder;
    /// Reads a status. Returns nothing, with a reason, if it is invalid.
    std::function<std::optional<RolloutStatus>(const std::string &value, Reason &)> readStatus;
    std::function<std::string(const RolloutStatus &)> writeStatus;
};

/// The keys under which the deployment's records are stored, and the functions that read the
/// records.
struct RecordCodec
{
    /// Key of the operators' settings.
    std::string settingsKey;
    /// Prefix of the records of backend servers; the server's ID follows it.
    std::string backendPrefix;
    /// Prefix of the keys that take a failure domain out of service; the domain's name follows it.
    std::string domainOutPrefix;
    /// Prefix of the records of the tier's VMs; the VM's name follows it.
    std::string memberPrefix;
    /// Reads the record of a backend server. Returns nothing, with a reason, if the record is
    /// invalid.
    std::function<std::optional<BackendRecord>(const BackendServerId &, const std::string &value,
                                               Reason &)>
        readBackend;
    /// Reads the operators' settings. Returns null, with a reason, if they are invalid.
    std::function<RouteTablePtr(const std::string &value, Reason &)> readRoutes;
    RolloutCodec rollouts;
};

} // namespace pimentoward
