#pragma once

#include "Pimentoward/Core/Types.h"

#include <memory>
#include <optional>

namespace pimentoward {

/// How durations are spread: their mean, median and 99th percentile over a window, and their
/// number and sum since the start. Constant memory, whatever the number of values. Owned by one
/// task.
class MetricsDistribution
{
public:
    MetricsDistribution();
    ~MetricsDistribution();
    MetricsDistribution(MetricsDistribution &&) noexcept;
    MetricsDistribution &operator=(MetricsDistribution &&) noexcept;

    void record(Duration value);
    /// Begins a new window; the one that ends is what mean() and the percentiles tell of, until
    /// the next one ends.
    void rotate();

    /// Values recorded since the start.
    std::uint64_t count() const;
    /// Their sum, in seconds.
    double sum() const;
    /// Of the last whole window, or of the running one where there is none; in seconds. Nothing
    /// where the window has no values; percentiles need 7 at least.
    std::optional<double> mean() const;
    std::optional<double> median() const;
    std::optional<double> percentile99() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
