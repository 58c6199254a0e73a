#include "Pimentoward/Request/CallerIdentity.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// The key in an authorization field; empty if the field has another scheme.
std::string_view keyOf(std::string_view value, std::string_view scheme)
{
    const std::size_t space = value.find(' ');
    if (space == std::string_view::npos || !equalIgnoringCase(value.substr(0, space), scheme)) {
        return {};
    }
    const std::size_t first = value.find_first_not_of(' ', space);
    if (first == std::string_view::npos) {
        return {};
    }
    return value.substr(first, value.find_last_not_of(" \t") - first + 1);
}

} // namespace

std::optional<CallerIdentity> identifyCaller(const HttpHeaders &headers, const HeaderNames &names,
                                             const RouteTable &routes, const Route &route)
{
    const WorkspaceTable &workspaces = routes.workspaces();
    CallerIdentity identity;
    if (!workspaces.requiresKeys()) {
        return identity;
    }
    const auto isAuthorization = [&](const HttpHeader &field) {
        return equalIgnoringCase(field.name, names.authorization);
    };
    const auto &fields = headers.fields();
    if (std::count_if(fields.begin(), fields.end(), isAuthorization) == 1) {
        identity.key = keyOf(headers.value(names.authorization), names.keyScheme);
        identity.workspace = identity.key.empty() ? nullptr : workspaces.find(identity.key);
    }
    if (identity.workspace == nullptr && !route.isPublic) {
        return std::nullopt;
    }
    return identity;
}

} // namespace pimentoward
