#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/ControlView.h"
#include "Pimentoward/Request/CallerRequest.h"
#include "Pimentoward/Request/ScatterGather.h"
#include "Pimentoward/Version/SnapshotChooser.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>

namespace pimentoward {

/// What a coordinator keeps for one service beyond single queries: the learned hedge policy, who
/// may take new work, and which backend servers lack which version. Lives as long as the process.
class CoordinatorService
{
public:
    /// Constants, and switches for tests that show what a mechanism prevents.
    struct Settings
    {
        /// How long a backend server is taken to lack a version after it said so.
        Duration missingVersionRetention = std::chrono::seconds(10);
        /// How often the schedule is applied between two views.
        Duration statusRefreshPeriod = std::chrono::milliseconds(100);
        HedgePolicy::Settings hedge;
        ScatterGather::Checks checks;
        /// False keeps a query on its version when that is gone.
        bool restartsOnVersionGone = true;
    };

    CoordinatorService(ServiceName name, const Settings &settings, const Clock &clock,
                       ReplicaChooser &chooser);
    CoordinatorService(const CoordinatorService &) = delete;
    CoordinatorService &operator=(const CoordinatorService &) = delete;

    /// Takes the newest view; a service that it lacks stays as it was. `near` is this VM's domain.
    void updateView(const std::shared_ptr<const ControlView> &view,
                    const FailureDomain &localDomain);
    /// The plan of a new query; fails with VersionGone where no version is released.
    std::optional<QueryPlan> plan(const RequestId &id, const CallerRequest &request,
                                  Reason &reason);
    /// Counts primary subrequests that have left this VM; they earn for the budgets.
    void onPrimariesSent(unsigned count);
    /// Learns from a reply to a subrequest of this service.
    void onSubreply(const Subreply &reply);
    const ScatterGather::Environment &environment() const { return m_environment; }
    /// Learned delay and budgets, for the dump.
    nlohmann::json dump() const;

private:
    using MissingVersions = std::map<std::pair<BackendServerId, IndexVersion>, SteadyTime>;

    void refreshServerStatuses();
    HedgePolicy::Settings hedgeSettings() const;
    ReplicaChooser::ServerStatus serverStatus(const BackendServerId &backendServer) const;
    bool serves(const BackendServerId &backendServer, IndexVersion version) const;
    const IndexVersionEntry *chooseVersion(const SnapshotChooser::Query &query);
    std::optional<QueryPlan> planOnOtherVersion(const QueryPlan &plan);
    static void pin(QueryPlan &plan, const IndexVersionEntry &version);

    ServiceName m_name;
    Settings m_settings;
    const Clock &m_clock;
    ReplicaChooser &m_chooser;
    HedgePolicy m_policy;
    ScatterGather::Environment m_environment;
    std::shared_ptr<const ControlView> m_view;
    std::shared_ptr<const ServiceCatalog> m_catalog;
    FailureDomain m_localDomain;
    std::unordered_map<BackendServerId, ReplicaChooser::ServerStatus> m_serverStatuses;
    SteadyTime m_statusesValidUntil {};
    MissingVersions m_missingVersions;
};

} // namespace pimentoward
