#pragma once

#include "Pimentoward/Request/Messages.h"
#include "Pimentoward/Version/ShardMap.h"

#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace pimentoward {

/// Chooses the backend server for each subrequest from the owners' aged load reports: the better
/// of two random replicas by expected wait. One a VM; lives as long as the process.
class ReplicaChooser
{
public:
    /// How reports are weighed.
    struct Settings
    {
        /// Age at which a report counts half and the neutral wait the other half.
        Duration halfLife = std::chrono::seconds(1);
        /// Expected wait of a backend server of which nothing is known, until reports tell.
        Duration defaultWait = std::chrono::milliseconds(2);
        /// A hedge needs a report not older than this.
        Duration maxHedgeReportAge = std::chrono::seconds(5);
        /// False takes the shard's replicas in their written order.
        bool usesReports = true;
        /// False hedges onto any other replica.
        bool hedgesOnlyToIdle = true;
        /// False gives work to backend servers that are leaving or out of service.
        bool avoidsLeaving = true;
        std::uint32_t seed = 1;
    };

    /// What the view tells of a backend server.
    struct ServerStatus
    {
        /// False where it is leaving, scheduled out, or its failure domain is out of service.
        bool mayTakeNewWork = true;
        bool hasOwner = true;
        /// True where it stands in the failure domain of this VM.
        bool isLocal = false;
    };
    using StatusHook = std::function<ServerStatus(const BackendServerId &)>;

    /// What a replica is chosen for.
    enum class Purpose { Primary, Hedge, Retry, Restart };

    ReplicaChooser();
    explicit ReplicaChooser(const Settings &settings);

    /// Takes the load report of a reply.
    void onReport(const BackendServerId &backendServer, const LoadReport &report, SteadyTime now);
    /// Counts a subrequest sent; it weighs until the next report.
    void onSent(const BackendServerId &backendServer);
    /// The backend server for a subrequest to `shard`, none of those in `avoid`. Nothing where no
    /// replica may take new work or, for a hedge, none is known to be warm with an empty queue.
    std::optional<BackendServerId> choose(const Shard &shard,
                                          const std::vector<BackendServerId> &avoid,
                                          Purpose purpose, SteadyTime now,
                                          const StatusHook &statusOf);
    /// Time that a subrequest is expected to take there.
    Duration expectedWait(const BackendServerId &backendServer, SteadyTime now) const;
    /// True where the last report said so and is not too old.
    bool isCold(const BackendServerId &backendServer, SteadyTime now) const;

private:
    /// The last report of one backend server.
    struct Report
    {
        LoadReport load;
        SteadyTime time {};
        std::uint32_t sentSinceReport = 0;
        bool isKnown = false;
    };
    /// One replica that may be chosen, with what decides.
    struct Candidate
    {
        const BackendServerId *id = nullptr;
        ServerStatus status;
        bool isCold = false;
        Duration wait {};
    };

    bool isWarmAndIdle(const BackendServerId &backendServer, SteadyTime now) const;
    std::vector<Candidate> candidates(const Shard &shard, const std::vector<BackendServerId> &avoid,
                                      Purpose purpose, SteadyTime now,
                                      const StatusHook &statusOf) const;
    static bool isBetter(const Candidate &a, const Candidate &b);
    static Duration reportedWait(const Report &report);

    Settings m_settings;
    std::unordered_map<BackendServerId, Report> m_reports;
    Duration m_defaultWait;
    std::mt19937 m_random;
};

} // namespace pimentoward
