#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Version/ServiceCatalog.h"
#include "standins/RecordSet.h"

#include <map>
#include <memory>
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
    bool finished = false;
};

/// Behaviour of one stand-in backend server, without input or output: service times, slots and
/// what it records.
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
    };

    explicit BackendServerModel(const Settings &settings);

    /// Begins work; returns how long it takes.
    Duration begin(const std::string &requestId, const ShardName &shard, IndexVersion version,
                   SteadyTime now);
    /// Ends the work, whole or cut short.
    void end(const std::string &requestId, bool finished, SteadyTime now);
    bool isRunning(const std::string &requestId) const;
    int running() const { return static_cast<int>(m_running.size()); }
    const std::vector<RunRecord> &records() const { return m_records; }
    /// Highest number of requests at work at a time so far.
    int mostConcurrent() const { return m_mostConcurrent; }
    Settings &settings() { return m_settings; }

private:
    Settings m_settings;
    std::mt19937 m_random;
    std::map<std::string, std::size_t> m_running;
    std::vector<RunRecord> m_records;
    int m_mostConcurrent = 0;
};

} // namespace pimentoward::standins
