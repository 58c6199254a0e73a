#include "Pimentoward/Version/RouteTable.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// The host name in the form used for comparison: in lower case and without a port.
std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return key;
}

} // namespace

RouteTable::RouteTable(Revision revision, std::vector<Route> routes,
                       std::unordered_map<ServiceName, ServiceRules> services,
                       const CallerLimits &limits, WorkspaceTable workspaces)
    : m_revision(revision)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_limits(limits)
    , m_workspaces(std::move(workspaces))
{
    for (const Route &route : m_routes) {
        m_byHost[hostKey(route.host)][route.prefix] = &route;
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_byHost.find(hostKey(host));
    if (routes == m_byHost.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    // A prefix ends with a slash, so only the beginnings of the path that end with one need to be
    // looked up, longest first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const ServiceRules *RouteTable::service(const ServiceName &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace pimentoward
