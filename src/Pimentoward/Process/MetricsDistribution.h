#pragma once

#include "Pimentoward/Core/Types.h"

#include <memory>
#include <optional>

namespace pimentoward {

/// Statistics of durations: mean, median and 99th percentile over a time window, and count and sum
/// since the start. Uses constant memory, however many values are recorded. Used by one task only.
class MetricsDistribution
{
public:
    MetricsDistribution();
    ~MetricsDistribution();
    MetricsDistribution(MetricsDistribution &&) noexcept;
    MetricsDistribution &operator=(MetricsDistribution &&) noexcept;

    /// Adds a duration to the current window.
    void record(Duration value);
    /// Starts a new window. From now on mean() and the percentiles describe the window that this
    /// call has ended, until the next call ends another.
    void rotate();

    /// Number of values recorded since the start.
    std::uint64_t count() const;
    /// Sum of the values recorded since the start, in seconds.
    double sum() const;
    /// Statistics of the last completed window, or of the current one if none has been completed
    /// yet; in seconds. Empty if the window has no values; percentiles need at least 7 values.
    std::optional<double> mean() const;
    std::optional<double> median() const;
    std::optional<double> percentile99() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
