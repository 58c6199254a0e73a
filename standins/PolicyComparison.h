#pragma once

#include "standins/LoadRunner.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// Compares two policies under the same load and against the same stand-ins. The rounds of the two
/// policies alternate within one run, so that other activity on the machine affects both alike.
class PolicyComparison
{
public:
    /// One policy: how its requests are sent, and how much processor time it has used so far.
    struct Policy
    {
        std::string name;
        LoadRunner::SendHook send;
        std::function<Duration()> cpuTime = [] { return Duration::zero(); };
        /// Called before each round of this policy, for instance to change settings.
        std::function<void()> prepare = [] {};
    };

    /// Samples of one round of one policy, and the processor time that the round used.
    struct Round
    {
        std::vector<LoadSample> samples;
        Duration cpuTime {};
    };

    /// All counted rounds of both policies. Index 0 is policy A, index 1 is policy B.
    struct Result
    {
        std::string names[2];
        std::vector<Round> rounds[2];

        /// Median, over the rounds of a policy, of a latency quantile.
        Duration latency(std::size_t policy, double quantile) const;
        /// Median, minimum and maximum of a metric over the rounds.
        struct Spread
        {
            double median = 0;
            double min = 0;
            double max = 0;
        };
        /// Spread of a metric over the rounds of a policy.
        Spread spread(std::size_t policy, const std::function<double(const Round &)> &metric) const;
        /// Spread of the ratio of A's metric to B's metric in the same round.
        Spread ratio(const std::function<double(const Round &)> &metric) const;
        nlohmann::json toJson() const;
        /// A text table with each metric of both policies as "median (minimum to maximum)".
        std::string table() const;
        /// Data for gnuplot, one line per round: its number, then p50, p90 and p99 in ms of A and
        /// of B.
        std::string plotData() const;
    };

    /// Runs one warm-up round of each policy, which is not counted, and then `rounds` rounds of
    /// each in alternation.
    static Result run(event_base *loop, const std::vector<PlannedRequest> &plan, const Policy &a,
                      const Policy &b, std::size_t rounds);

    /// A latency quantile of one round, in milliseconds.
    static double quantileMs(const Round &round, double quantile);
    /// Share of requests, from 0 to 1, that succeeded with full coverage.
    static double completeShare(const Round &round);
};

} // namespace pimentoward::standins
