#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Version/BackendRecord.h"
#include "Pimentoward/Version/RouteTable.h"

#include <functional>
#include <optional>
#include <string>

namespace pimentoward {

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
};

} // namespace pimentoward
