#include "standins/BackendServerModel.h"

#include <algorithm>
#include <cmath>

namespace pimentoward::standins {

namespace {

/// Share of the warm-up during which the capacity is the number of cold slots. After it, the
/// capacity is higher by one until the server is warm.
constexpr double coldSlotsShare = 0.8;
/// Multiplier of the service time of the run that makes the server collapse. The runs that are
/// already in progress keep their service times.
constexpr double collapsedFactor = 20;

/// Returns a random number in (0, 1]. The standard distributions are not used, because their
/// results differ between standard libraries.
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

std::optional<Duration> BackendServerModel::begin(const std::string &requestId,
                                                  const ShardName &shard, IndexVersion version,
                                                  SteadyTime now)
{
    const bool sheds = m_settings.shedAbove > 0 && running() >= m_settings.shedAbove;
    if (sheds || isCollapsed(now)) {
        ++m_statistics.refused;
        return std::nullopt;
    }
    RunRecord run;
    run.requestId = requestId;
    run.shard = shard;
    run.version = version;
    run.started = now;
    record(std::move(run), now);
    const double micros = static_cast<double>(m_settings.serviceTime.count()) * serviceFactor(now);
    return std::chrono::microseconds(static_cast<std::int64_t>(micros));
}

void BackendServerModel::record(RunRecord run, SteadyTime now)
{
    m_seen.insert(run.requestId);
    m_running[run.requestId] = m_records.size();
    run.concurrent = running();
    run.capacity = capacity();
    ++m_statistics.runs;
    m_statistics.peakConcurrency = std::max(m_statistics.peakConcurrency, run.concurrent);
    if (run.concurrent > m_settings.slots) {
        ++m_statistics.overloaded;
    }
    if (isCold() && run.concurrent > run.capacity) {
        ++m_statistics.coldOverloaded;
        ++m_overloadsWhileCold;
    }
    m_records.push_back(std::move(run));
    if (m_overloadsWhileCold > m_settings.collapseAfter) {
        collapse(now);
    }
}

double BackendServerModel::serviceFactor(SteadyTime now)
{
    // Half of the mean service time is fixed and the other half is exponentially distributed, as
    // for index lookups.
    constexpr double fixedShare = 0.5;
    double factor = fixedShare - (1 - fixedShare) * std::log(uniform(m_random));
    if (uniform(m_random) <= m_settings.stragglerShare) {
        factor *= m_settings.stragglerFactor;
    }
    // A request that starts above the capacity takes longer in proportion to the overload.
    factor *= std::max(1.0, static_cast<double>(running()) / capacity());
    factor *= m_settings.coldFactor + (1 - m_settings.coldFactor) * warmUpProgress();
    return factor * m_slowFactor * (isCollapsed(now) ? collapsedFactor : 1);
}

void BackendServerModel::end(const std::string &requestId, bool finished, SteadyTime now)
{
    const auto found = m_running.find(requestId);
    if (found == m_running.end()) {
        return;
    }
    RunRecord &run = m_records[found->second];
    run.ended = now;
    run.finished = finished;
    m_running.erase(found);
    if (finished && isCold()) {
        ++m_finishedWarmUpRuns;
    }
}

void BackendServerModel::makeCold()
{
    m_finishedWarmUpRuns = 0;
    m_overloadsWhileCold = 0;
}

void BackendServerModel::restart(SteadyTime now)
{
    while (!m_running.empty()) {
        const std::string requestId = m_running.begin()->first;
        end(requestId, false, now);
    }
    ++m_incarnation;
    m_collapsedUntil = {};
    makeCold();
}

void BackendServerModel::collapse(SteadyTime now)
{
    ++m_statistics.collapses;
    m_collapsedUntil = now + m_settings.collapseTime;
    makeCold();
}

bool BackendServerModel::isRunning(const std::string &requestId) const
{
    return m_running.count(requestId) > 0;
}

bool BackendServerModel::isCold() const
{
    return m_finishedWarmUpRuns < m_settings.warmUpRuns;
}

double BackendServerModel::warmUpProgress() const
{
    return isCold() ? static_cast<double>(m_finishedWarmUpRuns) / m_settings.warmUpRuns : 1;
}

int BackendServerModel::capacity() const
{
    if (!isCold()) {
        return m_settings.slots;
    }
    const int cold = std::min(m_settings.coldSlots, m_settings.slots);
    return warmUpProgress() < coldSlotsShare ? cold : std::min(cold + 1, m_settings.slots);
}

} // namespace pimentoward::standins
