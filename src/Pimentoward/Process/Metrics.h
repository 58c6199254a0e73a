#pragma once

#include "Pimentoward/Process/MetricsCounter.h"
#include "Pimentoward/Process/MetricsDistribution.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pimentoward {

/// The metrics of one task, which alone touches them; other tasks get the rendered text. Names
/// follow Prometheus: "pimentoward_queries_total", "pimentoward_query_seconds".
class Metrics
{
public:
    /// Names and values of labels.
    using Labels = std::vector<std::pair<std::string, std::string>>;

    /// The counter of that name and labels, made at the first call; the reference stays valid.
    MetricsCounter &counter(const std::string &name, const std::string &help,
                            const Labels &labels = {});
    /// The distribution of that name and labels; its unit is the second.
    MetricsDistribution &distribution(const std::string &name, const std::string &help,
                                      const Labels &labels = {});
    /// A value that is asked for at each rendering.
    void gauge(const std::string &name, const std::string &help, std::function<double()> value,
               const Labels &labels = {});

    /// Begins a new window of all distributions; to be called about once a minute.
    void rotate();
    /// The Prometheus text form.
    std::string render() const;

private:
    /// All metrics of one name, by the text of their labels.
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
