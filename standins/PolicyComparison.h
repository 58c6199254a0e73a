#pragma once

#include "standins/LoadRunner.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// Two policies under the same load against the same stand-ins, in turns within one run: what else
/// the machine does meets both.
class PolicyComparison
{
public:
    /// One policy: how its requests are sent, and the processor time that it has used so far.
    struct Policy
    {
        std::string name;
        LoadRunner::SendHook send;
        std::function<Duration()> cpuTime = [] { return Duration::zero(); };
        /// Runs before each round of this policy, such as a change of settings.
        std::function<void()> prepare = [] {};
    };

    /// One round of one policy.
    struct Round
    {
        std::vector<LoadSample> samples;
        Duration cpuTime {};
    };

    /// All rounds of both policies; index 0 is A, 1 is B.
    struct Result
    {
        std::string names[2];
        std::vector<Round> rounds[2];

        /// Median over the rounds of a quantile of the latency.
        Duration latency(std::size_t policy, double quantile) const;
        /// Median over the rounds of a figure of each round, and its lowest and highest value.
        struct Spread
        {
            double median = 0;
            double lowest = 0;
            double highest = 0;
        };
        Spread spread(std::size_t policy, const std::function<double(const Round &)> &figure) const;
        /// Median and spread of the ratio A / B within each round.
        Spread ratio(const std::function<double(const Round &)> &figure) const;
        nlohmann::json toJson() const;
        /// The table for people: each policy's figures, median (lowest to highest).
        std::string table() const;
        /// Columns for gnuplot: round, then p50, p90 and p99 in ms of A and of B.
        std::string plotData() const;
    };

    /// A round that is not counted comes first, then `rounds` of each policy in turns.
    static Result run(event_base *loop, const std::vector<PlannedRequest> &plan, const Policy &a,
                      const Policy &b, std::size_t rounds);

    /// A latency quantile of one round, in milliseconds.
    static double quantileMs(const Round &round, double quantile);
    /// Share of requests that were answered whole.
    static double wholeShare(const Round &round);
};

} // namespace pimentoward::standins
