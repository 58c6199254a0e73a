#pragma once

#include "Pimentoward/Connection/CallerServerSettings.h"
#include "Pimentoward/Version/Route.h"
#include "Pimentoward/Version/WorkspaceTable.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace pimentoward {

/// The settings of one service.
struct ServiceRules
{
    /// Maximum number of connections that one of its backend servers accepts from all VMs together.
    unsigned maxConnections = 0;
    /// Duration of a backend server's cold start.
    Duration coldStart {};
    /// Maximum number of requests per second that a cold backend server can handle from all VMs
    /// together; 0 means no limit.
    double coldRequestsPerSecond = 0;
    /// Path at which its backend servers tell their state; empty if there is none.
    std::string healthPath;
};

/// The routes, services and workspaces of one revision of the operators' settings. Immutable. A
/// request uses the table that was in force when it started until it ends.
class RouteTable
{
public:
    RouteTable(Revision revision, std::vector<Route> routes,
               std::unordered_map<ServiceName, ServiceRules> services, const CallerLimits &limits,
               WorkspaceTable workspaces = {});
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// Revision of the settings that the table was built from.
    Revision revision() const { return m_revision; }
    const CallerLimits &limits() const { return m_limits; }
    const std::vector<Route> &routes() const { return m_routes; }
    const WorkspaceTable &workspaces() const { return m_workspaces; }
    /// The route of `host` whose prefix is the longest one that `path` starts with; null if no
    /// prefix matches. A port in `host` is ignored.
    const Route *find(std::string_view host, std::string_view path) const;
    /// The settings of a service; null if there are none.
    const ServiceRules *service(const ServiceName &name) const;

private:
    using RoutesByPrefix = std::unordered_map<std::string, const Route *>;

    Revision m_revision;
    std::vector<Route> m_routes;
    std::unordered_map<ServiceName, ServiceRules> m_services;
    CallerLimits m_limits;
    WorkspaceTable m_workspaces;
    std::unordered_map<std::string, RoutesByPrefix> m_byHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace pimentoward
