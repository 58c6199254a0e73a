#pragma once

#include "Pimentoward/Core/Types.h"

#include <array>
#include <optional>

namespace pimentoward {

/// Estimates quantiles of a latency, such as that of the subrequests of one service or of the parts
/// of one route's requests.
///
/// It is a histogram of fixed size in which each bucket is a constant factor wider than the one
/// before, so that adding a sample takes constant time. Whenever the total weight reaches a limit,
/// all counts are halved, so that older samples lose weight. Deterministic.
class LatencyEstimate
{
public:
    /// Limits of the histogram.
    struct Settings
    {
        /// Minimum weight of the samples for which a quantile is given.
        double minSamples = 100;
        /// Total weight at which all counts are halved.
        double halvingWeight = 8192;
    };

    LatencyEstimate();
    explicit LatencyEstimate(const Settings &settings);

    /// Adds the duration of one request, or the time until it was cancelled. A straggler is
    /// cancelled only after the hedge delay, so it still counts as longer than that quantile.
    void add(Duration time);
    /// The time that `percent` (0 to 100) of the samples do not exceed, rounded up to the end of
    /// its bucket, which is at most 9 % too long. Nothing if there are too few samples.
    std::optional<Duration> quantile(double percent) const;
    /// Total weight of the samples at present.
    double weight() const { return m_weight; }

private:
    static constexpr std::size_t bucketsPerDoubling = 8;
    static constexpr std::size_t doublings = 20;
    static constexpr std::size_t bucketCount = bucketsPerDoubling * doublings;

    static std::size_t bucketIndex(Duration time);
    static Duration bucketEnd(std::size_t bucket);
    void halve();

    Settings m_settings;
    std::array<float, bucketCount> m_counts {};
    double m_weight = 0;
};

} // namespace pimentoward
