#pragma once

#include "Pimentoward/Request/LatencyEstimate.h"
#include "Pimentoward/Request/RetryBudget.h"

#include <random>

namespace pimentoward {

/// Decides when the subrequests of one service are hedged or retried, and how many of them. Lives
/// as long as the process and is shared by all running queries of the service.
class HedgePolicy
{
public:
    /// Values from the operators' settings, and constants that operators cannot change.
    struct Settings
    {
        /// A subrequest is hedged once it has run longer than this percentage of the service's
        /// recent subrequests.
        double quantilePercent = 95;
        /// Budget for hedges.
        RetryBudget::Settings hedges;
        /// Budget for retries.
        RetryBudget::Settings retries {5, 1, true};
        /// Mean backoff after the first failed round of a shard. A round ends when no further
        /// replica of the shard can be tried or the retry budget is used up. The mean doubles with
        /// each further round.
        Duration initialRetryBackoff = std::chrono::milliseconds(4);
        /// Upper bound of the mean backoff.
        Duration maxRetryBackoff = std::chrono::milliseconds(64);
        /// Delay until a hedge that could not be sent is checked again, as a fraction of the hedge
        /// delay.
        double hedgeRecheckFraction = 0.25;
        /// Enables hedging. Without it a query waits for stragglers.
        bool isHedgingEnabled = true;
        /// Seed of the random part of the backoff.
        std::uint32_t seed = 1;
    };

    HedgePolicy();
    explicit HedgePolicy(const Settings &settings);

    /// Applies changed settings. The measured latencies and the counts of the budgets are kept.
    void update(const Settings &settings);
    /// Time after which a subrequest is hedged. Nothing while too few latencies are known, or if
    /// hedging is disabled.
    std::optional<Duration> hedgeDelay() const { return m_hedgeDelay; }
    /// Delay until a hedge that could not be sent is checked again.
    Duration hedgeRecheckDelay() const;
    /// Backoff after failed round number `round`, counted from 1. It is random, and its mean
    /// doubles with each round.
    Duration retryBackoff(unsigned round);
    /// Counts a primary subrequest, which adds to both budgets.
    void addPrimary(SteadyTime now);
    /// Acquires a hedge from its budget. Returns false if the budget is used up.
    bool tryAcquireHedge(SteadyTime now) { return m_hedges.tryAcquire(now); }
    /// Acquires a retry from its budget. Returns false if the budget is used up.
    bool tryAcquireRetry(SteadyTime now) { return m_retries.tryAcquire(now); }
    /// Adds the time that a subrequest ran until it ended.
    void addLatency(Duration time);
    /// Adds the time that a subrequest ran until it was cancelled, which its latency exceeds. A
    /// time below the hedge delay says nothing about slow subrequests and is ignored.
    void addCancelled(Duration time);

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
