#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Version/ServiceCatalog.h"
#include "standins/RecordSet.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// Record of one run in the stand-in backend server. Checkers rely on these records and not on what
/// the tier reports.
struct RunRecord
{
    std::string requestId;
    ShardName shard;
    IndexVersion version = 0;
    SteadyTime started {};
    SteadyTime ended {};
    /// Requests that were running in the backend server when this one started, including this one.
    int concurrent = 0;
    /// Requests that the backend server could run at that moment without overload. It is at most
    /// the number of slots, and can be lower while the server is cold.
    int capacity = 0;
    /// False while the request is running, and if it was stopped early.
    bool finished = false;
};

/// Model of one stand-in backend server: service times, slots, cold start, collapse, load shedding
/// and the records of its runs. It does no input or output.
class BackendServerModel
{
public:
    struct Settings
    {
        int slots = 1;
        std::chrono::microseconds serviceTime {0};
        /// Share of subrequests, from 0 to 1, that take `stragglerFactor` times as long.
        double stragglerShare = 0;
        double stragglerFactor = 1;
        std::uint32_t seed = 1;
        /// Number of finished runs after which a cold server is warm; 0: it is always warm.
        int warmUpRuns = 0;
        /// Multiplier of the service time at the beginning of a cold start. It falls linearly to 1
        /// over the warm-up.
        double coldFactor = 8;
        /// Requests that a cold server can run at a time without overload.
        int coldSlots = 1;
        /// Number of requests that may start above the capacity within one cold start; one more
        /// makes the server collapse.
        int collapseAfter = 8;
        /// How long the server stays collapsed. It refuses all new work in this time and is cold
        /// afterwards.
        std::chrono::milliseconds collapseTime {2000};
        /// Maximum number of running requests; further ones are refused with 503. 0: no maximum.
        int shedAbove = 0;
    };

    /// Counters since the model was created; a restart does not reset them.
    struct Statistics
    {
        std::uint64_t runs = 0;
        std::uint64_t refused = 0;
        /// Requests that started while all slots were in use.
        std::uint64_t overloaded = 0;
        /// Requests that started on a cold server while its whole capacity was in use.
        std::uint64_t coldOverloaded = 0;
        std::uint64_t collapses = 0;
        int peakConcurrency = 0;
    };

    explicit BackendServerModel(const Settings &settings);

    /// Starts a run and returns how long it takes, or nothing if the server refuses the request
    /// without running it.
    std::optional<Duration> begin(const std::string &requestId, const ShardName &shard,
                                  IndexVersion version, SteadyTime now);
    /// Ends a run; `finished` is false if it was stopped early.
    void end(const std::string &requestId, bool finished, SteadyTime now);
    /// Begins a cold start. The incarnation and the running work are kept.
    void makeCold();
    /// Simulates a restart: the incarnation increases, the server is cold, and all running work is
    /// lost.
    void restart(SteadyTime now);
    /// Makes the server collapse immediately.
    void collapse(SteadyTime now);
    /// Sets the multiplier of the service times of all later runs.
    void setSlowFactor(double factor) { m_slowFactor = factor; }

    double slowFactor() const { return m_slowFactor; }

    bool isRunning(const std::string &requestId) const;
    /// True if a request with this ID has ever been started.
    bool hasSeen(const std::string &requestId) const { return m_seen.count(requestId) > 0; }
    bool isCold() const;
    bool isCollapsed(SteadyTime now) const { return now < m_collapsedUntil; }
    /// Requests that the server can currently run at a time without overload.
    int capacity() const;
    Incarnation incarnation() const { return m_incarnation; }
    int running() const { return static_cast<int>(m_running.size()); }
    const std::vector<RunRecord> &records() const { return m_records; }
    const Statistics &statistics() const { return m_statistics; }
    /// Maximum number of requests that ran at the same time so far.
    int peakConcurrency() const { return m_statistics.peakConcurrency; }
    Settings &settings() { return m_settings; }

private:
    /// Finished part of the warm-up, from 0 (cold) to 1 (warm).
    double warmUpProgress() const;
    /// Multiplier of the mean service time for the run that starts now.
    double serviceFactor(SteadyTime now);
    void record(RunRecord run, SteadyTime now);

    Settings m_settings;
    std::mt19937 m_random;
    /// Index into m_records of each running request, by request ID.
    std::map<std::string, std::size_t> m_running;
    std::set<std::string> m_seen;
    std::vector<RunRecord> m_records;
    Statistics m_statistics;
    Incarnation m_incarnation = 1;
    int m_finishedWarmUpRuns = 0;
    int m_overloadsWhileCold = 0;
    double m_slowFactor = 1;
    SteadyTime m_collapsedUntil {};
};

} // namespace pimentoward::standins
