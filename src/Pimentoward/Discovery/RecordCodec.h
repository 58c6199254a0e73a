#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Version/BackendRecord.h"
#include "Pimentoward/Version/RouteTable.h"

#include <functional>
#include <optional>
#include <string>

namespace pimentoward {

/// Where the deployment's records stand in the store, and how they are read.
struct RecordCodec
{
    /// The key of the operators' settings.
    std::string settingsKey;
    /// Backend servers stand below it, each under its id.
    std::string backendPrefix;
    /// Failure domains that are taken out of service stand below it.
    std::string domainOutPrefix;
    /// VMs of the tier stand below it.
    std::string memberPrefix;
    /// Nothing and a reason where a record cannot be understood.
    std::function<std::optional<BackendRecord>(const BackendServerId &, const std::string &value,
                                               Reason &)>
        readBackend;
    std::function<RouteTablePtr(const std::string &value, Reason &)> readRoutes;
};

} // namespace pimentoward
