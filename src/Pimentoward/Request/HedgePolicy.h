#pragma once

#include "Pimentoward/Request/LatencyEstimate.h"
#include "Pimentoward/Request/RetryBudget.h"

#include <random>

namespace pimentoward {

/// When the subrequests of one service are sent again, and how often. Lives as long as the
/// process; shared by all of the service's running queries.
class HedgePolicy
{
public:
    /// Operators' settings and the constants beside them.
    struct Settings
    {
        /// A subrequest is hedged once it has taken longer than this share of the service's.
        double quantilePercent = 95;
        RetryBudget::Settings hedges;
        RetryBudget::Settings retries {5, 1, true};
        /// Mean pause before a second retry; it doubles with each further one.
        Duration initialRetryBackoff = std::chrono::milliseconds(4);
        /// Longest pause before a retry.
        Duration maxRetryBackoff = std::chrono::milliseconds(64);
        /// Pause after which a hedge that the budget refused is asked for again, as a share of
        /// the hedge delay.
        double hedgeRecheckFraction = 0.25;
        /// False sends no hedges.
        bool isHedgingEnabled = true;
        std::uint32_t seed = 1;
    };

    HedgePolicy();
    explicit HedgePolicy(const Settings &settings);

    /// Takes changed settings; what was learned stays.
    void update(const Settings &settings);
    /// Time after which a subrequest is hedged; nothing where it is not known yet or switched off.
    std::optional<Duration> hedgeDelay() const { return m_hedgeDelay; }
    /// Pause until a hedge that the budget refused may be asked for again.
    Duration hedgeRecheckDelay() const;
    /// Pause before retry number `attempt` (from 1): random around a value that doubles.
    Duration retryBackoff(unsigned round);
    /// Counts a primary subrequest, which earns for both budgets.
    void addPrimary(SteadyTime now);
    bool tryAcquireHedge(SteadyTime now) { return m_hedges.tryAcquire(now); }
    bool tryAcquireRetry(SteadyTime now) { return m_retries.tryAcquire(now); }
    /// Learns from a subrequest that ended, or was cancelled, after `time`.
    void addLatency(Duration time);

    const RetryBudget &hedgeBudget() const { return m_hedges; }
    const RetryBudget &retryBudget() const { return m_retries; }

private:
    void updateHedgeDelay();

    Settings m_settings;
    LatencyEstimate m_latency;
    RetryBudget m_hedges;
    RetryBudget m_retries;
    std::mt19937 m_random;
    std::optional<Duration> m_hedgeDelay;
    unsigned m_samplesSinceUpdate = 0;
};

} // namespace pimentoward
