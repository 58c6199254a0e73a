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

/// What the stand-in backend server records of one run; checkers read these records, never the
/// tier's claims.
struct RunRecord
{
    std::string requestId;
    ShardName shard;
    IndexVersion version = 0;
    SteadyTime started {};
    SteadyTime ended {};
    /// Requests at work in the backend server while this one started, itself counted.
    int concurrent = 0;
    /// Requests that the backend server could bear at that moment: fewer than its slots while cold.
    int capacity = 0;
    bool finished = false;
};

/// Behaviour of one stand-in backend server, without input or output: service times, slots, cold
/// start and collapse, shedding, and what it records.
class BackendServerModel
{
public:
    struct Settings
    {
        int slots = 1;
        std::chrono::microseconds serviceTime {0};
        /// Share of subrequests that take `stragglerFactor` times as long.
        double stragglerShare = 0;
        double stragglerFactor = 1;
        std::uint32_t seed = 1;
        /// Finished runs that warm a cold server up; 0: it is always warm.
        int warmUpRuns = 0;
        /// Service time at the beginning of a cold start as a multiple of normal; it falls evenly
        /// over the warm-up.
        double coldFactor = 8;
        /// Requests that a cold server bears at a time.
        int coldSlots = 1;
        /// Starts above what it bears, within one cold start, that make it collapse.
        int collapseAfter = 8;
        /// How long it stays collapsed; it refuses all new work then and is cold afterwards.
        std::chrono::milliseconds collapseTime {2000};
        /// Requests at work above which it refuses new ones with 503; 0: it never does.
        int shedAbove = 0;
    };

    /// Counts of the whole life, kept over restarts.
    struct Statistics
    {
        std::uint64_t runs = 0;
        std::uint64_t refused = 0;
        /// Starts with more at work than the slots, itself counted.
        std::uint64_t overloaded = 0;
        /// Starts with more at work than the server could bear while cold.
        std::uint64_t coldOverloaded = 0;
        std::uint64_t collapses = 0;
        int mostConcurrent = 0;
    };

    explicit BackendServerModel(const Settings &settings);

    /// Begins work; returns how long it takes, or nothing where it is refused without being run.
    std::optional<Duration> begin(const std::string &requestId, const ShardName &shard,
                                  IndexVersion version, SteadyTime now);
    /// Ends the work, whole or cut short.
    void end(const std::string &requestId, bool finished, SteadyTime now);
    /// Turns the server cold: it keeps its incarnation and its running work.
    void makeCold();
    /// Restarts it: a new incarnation, cold, and all running work is lost.
    void restart(SteadyTime now);
    /// Makes it collapse at once.
    void collapse(SteadyTime now);
    /// Multiplies all service times from now on.
    void slowDown(double factor) { m_slowFactor = factor; }

    double slowFactor() const { return m_slowFactor; }

    bool isRunning(const std::string &requestId) const;
    /// True where a request of this id has been begun at any time.
    bool hasSeen(const std::string &requestId) const { return m_seen.count(requestId) > 0; }
    bool isCold() const;
    bool isCollapsed(SteadyTime now) const { return now < m_collapsedUntil; }
    /// Requests that it bears at a time at present.
    int capacity() const;
    Incarnation incarnation() const { return m_incarnation; }
    int running() const { return static_cast<int>(m_running.size()); }
    const std::vector<RunRecord> &records() const { return m_records; }
    const Statistics &statistics() const { return m_statistics; }
    /// Highest number of requests at work at a time so far.
    int mostConcurrent() const { return m_statistics.mostConcurrent; }
    Settings &settings() { return m_settings; }

private:
    double warmth() const;
    double serviceFactor(SteadyTime now);
    void record(RunRecord record, SteadyTime now);

    Settings m_settings;
    std::mt19937 m_random;
    std::map<std::string, std::size_t> m_running;
    std::set<std::string> m_seen;
    std::vector<RunRecord> m_records;
    Statistics m_statistics;
    Incarnation m_incarnation = 1;
    int m_warmRuns = 0;
    int m_overloadsWhileCold = 0;
    double m_slowFactor = 1;
    SteadyTime m_collapsedUntil {};
};

} // namespace pimentoward::standins
