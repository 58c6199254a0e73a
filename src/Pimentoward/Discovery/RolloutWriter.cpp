#include "Pimentoward/Discovery/RolloutWriter.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Discovery/RolloutReportCodec.h"
#include "Pimentoward/Process/RendezvousHash.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Maximum number of keys that one transaction removes.
constexpr std::size_t maxRemovals = 32;

const log4cplus::Logger &rolloutLog()
{
    static const log4cplus::Logger log = Log::part("rollout");
    return log;
}

} // namespace

RolloutWriter::RolloutWriter(event_base *loop, const Clock &clock, KeyValueStore &store,
                             RolloutCodec codec, const Settings &settings)
    : m_clock(clock)
    , m_store(store)
    , m_codec(std::move(codec))
    , m_settings(settings)
    , m_judge(settings.judge)
    , m_timer(loop, [this] { decide(); })
{ }

void RolloutWriter::changeRollouts(RolloutTablePtr rollouts)
{
    m_rollouts = std::move(rollouts);
    if (m_settings.judge.plan.maxShare > 0 && !m_rollouts->empty()) {
        m_timer.startOnce(Duration::zero());
    }
}

std::size_t RolloutWriter::rank(const ServiceName &service) const
{
    return RendezvousHash::rank(m_members, m_settings.self, service);
}

bool RolloutWriter::hasTarget(const ServiceName &service, const Rollout &rollout) const
{
    if (!m_backends || !rollout.order) {
        return false;
    }
    const auto found = m_backends->byService.find(service);
    return found != m_backends->byService.end()
        && std::any_of(found->second.begin(), found->second.end(),
                       [&](const BackendRecord &record) {
                           return record.version == rollout.order->targetVersion;
                       });
}

void RolloutWriter::decide()
{
    const SteadyTime now = m_clock.now();
    bool isBusy = false;
    for (const auto &[service, rollout] : *m_rollouts) {
        const auto status
            = m_judge.decide(service, rollout, rank(service), hasTarget(service, rollout), now);
        isBusy = isBusy || rollout.isOpen();
        if (m_writing.count(service) > 0) {
            continue;
        }
        if (status) {
            writeStatus(service, rollout, *status);
        } else if (!rollout.isOpen() && !rollout.reports.empty() && rank(service) == 0) {
            removeReports(service, rollout);
        }
    }
    if (isBusy) {
        m_timer.startOnce(m_settings.period);
    }
}

void RolloutWriter::writeStatus(const ServiceName &service, const Rollout &rollout,
                                const RolloutStatus &status)
{
    const std::string key = m_codec.statusPrefix + service;
    StoreTransaction transaction;
    transaction.conditions.push_back({key, rollout.statusRevision});
    transaction.writes.push_back({key, m_codec.writeStatus(status), 0});
    const ReplyComparison seen = overAllRoutes(pooledCounts(rollout));
    LOG4CPLUS_INFO(rolloutLog(),
                   "event=rollout-write service="
                       << service << " version=" << status.targetVersion
                       << " final=" << status.isFinal() << " shifting=" << status.isShifting
                       << " good=" << seen.target.good << " bad=" << seen.target.bad
                       << " other_good=" << seen.other.good << " other_bad=" << seen.other.bad);
    m_writing.insert(service);
    m_store.transact(
        transaction,
        [this, service](const std::optional<Revision> &revision, const StoreFailure &failure) {
            m_writing.erase(service);
            if (!revision) {
                LOG4CPLUS_INFO(rolloutLog(),
                               "event=rollout-write-failed service=" << service << " reason=\""
                                                                     << failure.text << '"');
            }
        });
}

void RolloutWriter::removeReports(const ServiceName &service, const Rollout &rollout)
{
    StoreTransaction transaction;
    for (const auto &[key, report] : rollout.reports) {
        if (transaction.removals.size() < maxRemovals) {
            transaction.removals.push_back(key);
        }
    }
    m_writing.insert(service);
    m_store.transact(transaction,
                     [this, service](const std::optional<Revision> &, const StoreFailure &) {
                         m_writing.erase(service);
                     });
}

void RolloutWriter::write(const std::vector<RolloutReport> &reports)
{
    for (const RolloutReport &report : reports) {
        StoreTransaction transaction;
        transaction.writes.push_back(
            {m_codec.reportPrefix + report.service + m_settings.reportKeySuffix,
             encodeRolloutReport(report), 0});
        m_store.transact(transaction, [](const std::optional<Revision> &, const StoreFailure &) {
            // The next report holds these counts as well.
        });
    }
}

} // namespace pimentoward
