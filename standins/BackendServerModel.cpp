#include "standins/BackendServerModel.h"

#include <algorithm>
#include <cmath>

namespace pimentoward::standins {

namespace {

/// A number in (0, 1], equal on every standard library.
double uniform(std::mt19937 &random)
{
    constexpr double range = 4294967296.0;
    return (static_cast<double>(random()) + 1.0) / range;
}

} // namespace

BackendServerModel::BackendServerModel(const Settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{ }

Duration BackendServerModel::begin(const std::string &requestId, const ShardName &shard,
                                   IndexVersion version, SteadyTime now)
{
    RunRecord record;
    record.requestId = requestId;
    record.shard = shard;
    record.version = version;
    record.started = now;
    m_running[requestId] = m_records.size();
    record.concurrent = running();
    m_mostConcurrent = std::max(m_mostConcurrent, record.concurrent);
    m_records.push_back(std::move(record));

    // Half of the mean is fixed, the rest falls off exponentially, as index look-ups do.
    constexpr double fixedShare = 0.5;
    double factor = fixedShare - (1 - fixedShare) * std::log(uniform(m_random));
    if (uniform(m_random) <= m_settings.stragglerShare) {
        factor *= m_settings.stragglerFactor;
    }
    // Work above the slots slows all of it down.
    const double overload = std::max(1.0, static_cast<double>(running()) / m_settings.slots);
    const double micros = static_cast<double>(m_settings.serviceTime.count()) * factor * overload;
    return std::chrono::microseconds(static_cast<std::int64_t>(micros));
}

void BackendServerModel::end(const std::string &requestId, bool finished, SteadyTime now)
{
    const auto found = m_running.find(requestId);
    if (found == m_running.end()) {
        return;
    }
    RunRecord &record = m_records[found->second];
    record.ended = now;
    record.finished = finished;
    m_running.erase(found);
}

bool BackendServerModel::isRunning(const std::string &requestId) const
{
    return m_running.count(requestId) > 0;
}

} // namespace pimentoward::standins
