#include "Pimentoward/Discovery/DiscoveredRollouts.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Discovery/RolloutReportCodec.h"

namespace pimentoward {

namespace {

const log4cplus::Logger &rolloutLog()
{
    static const log4cplus::Logger log = Log::part("rollout");
    return log;
}

std::optional<std::string> withoutPrefix(const std::string &key, const std::string &prefix)
{
    if (prefix.empty() || key.compare(0, prefix.size(), prefix) != 0) {
        return std::nullopt;
    }
    return key.substr(prefix.size());
}

void logUnreadable(const StoreItem &item, const Reason &reason)
{
    LOG4CPLUS_WARN(rolloutLog(),
                   "event=rollout-unreadable key=" << item.key << " revision=" << item.revision
                                                   << " reason=\"" << reason.text << '"');
}

const char *stateName(const RolloutStatus &status)
{
    switch (status.state) {
    case RolloutState::Complete:
        return "complete";
    case RolloutState::RolledBack:
        return "rolled-back";
    case RolloutState::Serving:
        break;
    }
    return status.isShifting ? "shifting" : "serving";
}

} // namespace

DiscoveredRollouts::DiscoveredRollouts(RolloutCodec codec)
    : m_codec(std::move(codec))
{ }

bool DiscoveredRollouts::onWritten(const StoreItem &item, SteadyTime now)
{
    if (const auto service = withoutPrefix(item.key, m_codec.orderPrefix)) {
        applyOrder(*service, item, now);
    } else if (const auto statusService = withoutPrefix(item.key, m_codec.statusPrefix)) {
        applyStatus(*statusService, item);
    } else if (withoutPrefix(item.key, m_codec.reportPrefix)) {
        applyReport(item);
    } else {
        return false;
    }
    m_isChanged = true;
    return true;
}

void DiscoveredRollouts::applyOrder(const ServiceName &service, const StoreItem &item,
                                    SteadyTime now)
{
    Reason reason;
    auto order = m_codec.readOrder(item.value, reason);
    if (!order) {
        // The order before it must not stay in force, because the operator has replaced it.
        logUnreadable(item, reason);
        onRemoved(item.key);
        return;
    }
    Rollout &rollout = m_rollouts[service];
    const bool isSame = rollout.order && rollout.order->targetVersion == order->targetVersion;
    if (!isSame) {
        rollout.orderedAt = now;
        LOG4CPLUS_INFO(
            rolloutLog(),
            "event=rollout-order service="
                << service << " version=" << order->targetVersion << " duration_ms="
                << std::chrono::duration_cast<std::chrono::milliseconds>(order->duration).count()
                << " revision=" << item.revision);
    }
    rollout.order = std::move(order);
}

void DiscoveredRollouts::applyStatus(const ServiceName &service, const StoreItem &item)
{
    Reason reason;
    const auto status = m_codec.readStatus(item.value, reason);
    Rollout &rollout = m_rollouts[service];
    rollout.statusRevision = item.revision;
    if (!status) {
        logUnreadable(item, reason);
        return;
    }
    rollout.status = status;
    LOG4CPLUS_INFO(rolloutLog(),
                   "event=rollout-status service="
                       << service << " version=" << status->targetVersion
                       << " state=" << stateName(*status) << " revision=" << item.revision);
}

void DiscoveredRollouts::applyReport(const StoreItem &item)
{
    Reason reason;
    if (auto report = decodeRolloutReport(item.value, reason)) {
        const ServiceName service = report->service;
        m_rollouts[service].reports[item.key] = std::move(*report);
    } else {
        logUnreadable(item, reason);
    }
}

bool DiscoveredRollouts::onRemoved(const std::string &key)
{
    if (const auto service = withoutPrefix(key, m_codec.orderPrefix)) {
        LOG4CPLUS_INFO(rolloutLog(), "event=rollout-withdrawn service=" << *service);
        m_rollouts[*service].order.reset();
        dropIfEmpty(*service);
    } else if (const auto statusService = withoutPrefix(key, m_codec.statusPrefix)) {
        Rollout &rollout = m_rollouts[*statusService];
        rollout.status.reset();
        rollout.statusRevision = 0;
        dropIfEmpty(*statusService);
    } else if (withoutPrefix(key, m_codec.reportPrefix)) {
        removeReport(key);
    } else {
        return false;
    }
    m_isChanged = true;
    return true;
}

void DiscoveredRollouts::removeReport(const std::string &key)
{
    for (auto &[service, rollout] : m_rollouts) {
        if (rollout.reports.erase(key) > 0) {
            dropIfEmpty(service);
            return;
        }
    }
}

void DiscoveredRollouts::dropIfEmpty(const ServiceName &service)
{
    const auto found = m_rollouts.find(service);
    const Rollout &rollout = found->second;
    if (!rollout.order && !rollout.status && rollout.statusRevision == 0
        && rollout.reports.empty()) {
        m_rollouts.erase(found);
    }
}

RolloutTablePtr DiscoveredRollouts::table()
{
    if (m_isChanged) {
        m_table = std::make_shared<const RolloutTable>(m_rollouts);
        m_isChanged = false;
    }
    return m_table;
}

} // namespace pimentoward
