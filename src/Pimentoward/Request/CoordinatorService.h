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

/// The state of a coordinator for one service that outlives its queries: the hedge policy with
/// its measured latencies, the status of the backend servers, and which of them lack which index
/// version. Lives as long as the process.
class CoordinatorService
{
public:
    /// Constants, and switches that only tests change, to show which failure a mechanism prevents.
    struct Settings
    {
        /// Time for which a backend server counts as lacking a version after it replied
        /// VersionGone.
        Duration missingVersionRetention = std::chrono::seconds(10);
        /// Period at which the status of the backend servers is computed again between two control
        /// views, so that changes in the schedule take effect.
        Duration statusRefreshPeriod = std::chrono::milliseconds(100);
        HedgePolicy::Settings hedge;
        ScatterGather::Checks checks;
        /// Restarts a query on another index version if a shard has no replica left with the pinned
        /// one. Without it the query continues without that shard.
        bool restartsOnVersionGone = true;
    };

    CoordinatorService(ServiceName name, const Settings &settings, const Clock &clock,
                       ReplicaChooser &chooser);
    CoordinatorService(const CoordinatorService &) = delete;
    CoordinatorService &operator=(const CoordinatorService &) = delete;

    /// Applies a new control view. If it lacks this service, the last known catalog is kept.
    /// `localDomain` is the failure domain of this VM.
    void updateView(const std::shared_ptr<const ControlView> &view,
                    const FailureDomain &localDomain);
    /// Makes the plan of a new query. Fails with VersionGone if no index version is released.
    std::optional<QueryPlan> plan(const RequestId &id, const CallerRequest &request,
                                  Reason &reason);
    /// Counts primary subrequests that were sent, which add to the hedge and retry budgets.
    void onPrimariesSent(unsigned count);
    /// Records from a reply whether the backend server lacks the index version.
    void onSubreply(const Subreply &reply);
    /// The hedge policy, hooks and checks that the queries of this service use.
    const ScatterGather::Environment &environment() const { return m_environment; }
    /// Returns the hedge delay and the use of the budgets for the state dump.
    nlohmann::json dump() const;

private:
    /// For each version that a backend server lacks, the time until which that is assumed.
    using MissingVersions = std::map<std::pair<BackendServerId, IndexVersion>, SteadyTime>;

    void refreshServerStatuses();
    HedgePolicy::Settings hedgeSettings() const;
    ReplicaChooser::ServerStatus serverStatus(const BackendServerId &backendServer) const;
    /// True if queries can use the backend server for the index version.
    bool serves(const BackendServerId &backendServer, IndexVersion version) const;
    const IndexVersionEntry *chooseVersion(const SnapshotChooser::Query &query);
    /// Returns the plan on another version, or nothing if none covers more of the key space than
    /// the pinned one still can.
    std::optional<QueryPlan> planOnOtherVersion(const QueryPlan &plan);
    /// Sets the version and its shards in the plan.
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
