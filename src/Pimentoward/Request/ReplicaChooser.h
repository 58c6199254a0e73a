#pragma once

#include "Pimentoward/Request/Messages.h"
#include "Pimentoward/Version/ShardMap.h"

#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace pimentoward {

/// Chooses the backend server for each subrequest. It picks two replicas at random and takes the
/// one with the shorter expected wait, which is calculated from the owners' load reports, weighted
/// by age. Each VM has one chooser, which lives as long as the process.
class ReplicaChooser
{
public:
    /// How load reports are weighted, and switches for tests.
    struct Settings
    {
        /// Age at which a report has half the weight, and the default wait the other half.
        Duration halfLife = std::chrono::seconds(1);
        /// Initial value of the expected wait at a backend server without a report. The value then
        /// follows the mean of all reports.
        Duration defaultWait = std::chrono::milliseconds(2);
        /// Maximum age of a report that shows a backend server as cold, or as warm and idle. A
        /// hedge needs a report of at most this age.
        Duration maxHedgeReportAge = std::chrono::seconds(5);
        /// Chooses by load reports. Without it the first usable replica of the shard map is chosen.
        bool usesReports = true;
        /// Sends hedges only to warm, idle replicas. Without it any other replica can get a hedge.
        bool hedgesOnlyToIdle = true;
        /// Excludes backend servers that are leaving or out of service. Without it they get new
        /// work.
        bool avoidsLeaving = true;
        /// Seed of the random choice.
        std::uint32_t seed = 1;
    };

    /// The status of a backend server in the current control view.
    struct ServerStatus
    {
        /// False if it is leaving, if the schedule has it out of service, or if its failure domain
        /// is out of service.
        bool canAcceptNewWork = true;
        /// True if a VM owns it at present.
        bool hasOwner = true;
        /// True if it is in the failure domain of this VM.
        bool isLocal = false;
    };
    /// Returns the status of a backend server.
    using StatusHook = std::function<ServerStatus(const BackendServerId &)>;

    /// The kind of subrequest that a replica is chosen for. A restart repeats a query on another
    /// index version.
    enum class Purpose { Primary, Hedge, Retry, Restart };

    ReplicaChooser();
    explicit ReplicaChooser(const Settings &settings);

    /// Stores the load report of a reply.
    void onReport(const BackendServerId &backendServer, const LoadReport &report, SteadyTime now);
    /// Counts a sent subrequest, which adds to the expected wait until the next report.
    void onSent(const BackendServerId &backendServer);
    /// Chooses a backend server that is not in `avoid` for a subrequest to `shard`. Returns nothing
    /// if no such replica may accept new work or, for a hedge, none of them is known to be warm
    /// with an empty queue.
    std::optional<BackendServerId> choose(const Shard &shard,
                                          const std::vector<BackendServerId> &avoid,
                                          Purpose purpose, SteadyTime now,
                                          const StatusHook &statusOf);
    /// Returns the time that a subrequest is expected to take, including its wait in the queue.
    Duration expectedWait(const BackendServerId &backendServer, SteadyTime now) const;
    /// True if the last report says that the backend server is cold, and is not older than
    /// Settings::maxHedgeReportAge.
    bool isCold(const BackendServerId &backendServer, SteadyTime now) const;

private:
    /// The last report of one backend server.
    struct Report
    {
        LoadReport load;
        SteadyTime time {};
        /// Subrequests sent to it since the report.
        std::uint32_t sentSinceReport = 0;
        /// False if subrequests were sent but no report has arrived yet.
        bool isKnown = false;
    };
    /// A replica that may be chosen, with the values that the choice depends on.
    struct Candidate
    {
        const BackendServerId *id = nullptr;
        ServerStatus status;
        bool isCold = false;
        Duration wait {};
    };

    /// True if the last report shows a warm backend server with an empty queue, and is not older
    /// than Settings::maxHedgeReportAge.
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
