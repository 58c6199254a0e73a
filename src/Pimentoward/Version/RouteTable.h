#pragma once

#include "Pimentoward/Connection/CallerServerSettings.h"
#include "Pimentoward/Version/Route.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace pimentoward {

/// What the settings say of one service.
struct ServiceRules
{
    /// Connections that one of its backend servers accepts from all VMs together.
    unsigned maxConnections = 0;
    /// How long a backend server is cold after its start.
    Duration coldStart {};
    /// Requests that a cold backend server bears in a second, from all VMs together; 0: no bound.
    double coldRequestsPerSecond = 0;
};

/// The routes and services of one version of the operators' settings. Never changes once built;
/// a request keeps the one that it began with.
class RouteTable
{
public:
    RouteTable(Revision version, std::vector<Route> routes,
               std::unordered_map<ServiceName, ServiceRules> services, const CallerLimits &limits);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    Revision version() const { return m_version; }
    const CallerLimits &limits() const { return m_limits; }
    const std::vector<Route> &routes() const { return m_routes; }
    /// The route with the longest prefix of `path` at `host`; null where there is none. `host` may
    /// name a port, which is ignored.
    const Route *find(std::string_view host, std::string_view path) const;
    /// What is said of a service; null where nothing is.
    const ServiceRules *service(const ServiceName &name) const;

private:
    using RoutesByPrefix = std::unordered_map<std::string, const Route *>;

    Revision m_version;
    std::vector<Route> m_routes;
    std::unordered_map<ServiceName, ServiceRules> m_services;
    CallerLimits m_limits;
    std::unordered_map<std::string, RoutesByPrefix> m_byHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace pimentoward
