// The part of Forwarder that concerns roll-outs of software versions.

#include "Pimentoward/Request/Forwarder.h"

namespace pimentoward {

void Forwarder::changeRollouts(RolloutTablePtr rollouts)
{
    m_rollouts = std::move(rollouts);
    if (!canServe()) {
        return;
    }
    m_rolloutTraffic.update(m_backends, m_rollouts, m_members, std::chrono::steady_clock::now());
    for (const auto &[service, rollout] : *m_rollouts) {
        m_servicesWithCapacity.insert(service);
    }
    m_dispatchTimer.startOnce(Duration::zero());
}

void Forwarder::countForRollout(const Exchange &exchange, ReplyKind kind, SteadyTime now)
{
    if (!m_rolloutTraffic.hasOpenRollouts() || kind == ReplyKind::NotRun) {
        return;
    }
    const BackendRecord &backend = exchange.link->record();
    RolloutTraffic::Reply reply {backend.service, backend.version, exchange.route->name,
                                 kind == ReplyKind::Failure, 1};
    const std::chrono::duration<double> time = now - exchange.sentAt;
    const std::chrono::duration<double> median = exchange.medianTime;
    reply.slowness = median.count() > 0 ? time / median : 1;
    const bool isSlow = reply.slowness >= m_settings.rollouts.slowRatio;
    if (kind == ReplyKind::Unknown && !isSlow) {
        // A connection that broke says nothing about the version.
        return;
    }
    m_report.onRolloutReply(backend, reply.isFailure, isSlow);
    if (m_rolloutTraffic.onReply(reply)) {
        m_report.onVersionBad(backend);
    }
}

} // namespace pimentoward
