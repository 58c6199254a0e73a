#pragma once

#include "Pimentoward/Connection/HeaderNames.h"
#include "Pimentoward/Connection/HttpHeaders.h"
#include "Pimentoward/Version/RouteTable.h"

#include <optional>
#include <string>

namespace pimentoward {

/// Who sends a request, as its API key tells.
struct CallerIdentity
{
    /// The workspace that holds the key; null for a request without a valid key on a public route,
    /// and if the settings have no workspaces.
    const Workspace *workspace = nullptr;
    /// The key, so that it can be looked up again in later settings. Must not be written anywhere.
    std::string key;
};

/// Identifies the caller of a request on `route` of `routes`. Returns nothing if the route needs a
/// key and the request has none that is valid, or more than one.
std::optional<CallerIdentity> identifyCaller(const HttpHeaders &headers, const HeaderNames &names,
                                             const RouteTable &routes, const Route &route);

} // namespace pimentoward
