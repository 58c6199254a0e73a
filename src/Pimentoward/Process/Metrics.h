#pragma once

#include "Pimentoward/Process/MetricsCounter.h"
#include "Pimentoward/Process/MetricsDistribution.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pimentoward {

/// The metrics of one task. Only that task may use them; other tasks receive the rendered text.
/// Names follow the Prometheus conventions, such as "pimentoward_queries_total" and
/// "pimentoward_query_seconds".
class Metrics
{
public:
    /// Pairs of a label's name and its value.
    using Labels = std::vector<std::pair<std::string, std::string>>;

    /// Returns the counter with this name and these labels, which the first call creates. The
    /// reference stays valid.
    MetricsCounter &counter(const std::string &name, const std::string &help,
                            const Labels &labels = {});
    /// Returns the distribution with this name and these labels, which the first call creates. It
    /// is rendered in seconds. The reference stays valid.
    MetricsDistribution &distribution(const std::string &name, const std::string &help,
                                      const Labels &labels = {});
    /// Adds a gauge whose value is computed by `value` in each call of render().
    void gauge(const std::string &name, const std::string &help, std::function<double()> value,
               const Labels &labels = {});

    /// Starts a new window of all distributions. Should be called about once a minute.
    void rotate();
    /// Returns all metrics in the Prometheus text format.
    std::string render() const;

private:
    /// All metrics with the same name, each under the text of its labels.
    template <typename Value>
    struct Family
    {
        std::string help;
        std::map<std::string, Value> values;
    };
    template <typename Value>
    using Families = std::map<std::string, Family<Value>>;

    Families<MetricsCounter> m_counters;
    Families<MetricsDistribution> m_distributions;
    Families<std::function<double()>> m_gauges;
};

} // namespace pimentoward
