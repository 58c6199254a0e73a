#pragma once

#include "Pimentoward/Core/Types.h"

#include <array>
#include <optional>

namespace pimentoward {

/// Learns how long the subrequests of one service take, and tells quantiles of it.
///
/// A histogram of fixed size whose buckets grow by a constant factor; a sample costs one addition.
/// All counts are halved at times, so that older samples lose weight. Deterministic.
class LatencyEstimate
{
public:
    /// How the histogram learns.
    struct Settings
    {
        /// Samples without which there is no quantile.
        double minSamples = 100;
        /// Weight at which all counts are halved.
        double halvingWeight = 8192;
    };

    LatencyEstimate();
    explicit LatencyEstimate(const Settings &settings);

    /// Takes one subrequest's time. Of a subrequest that was cancelled, the time until then: as it
    /// was cancelled after the hedge delay, it still counts on the right side of that quantile.
    void add(Duration time);
    /// The time that a share of `percent` (0 to 100) of the samples does not exceed, rounded up to
    /// its bucket's end (at most 9 % too long); nothing where there are too few samples.
    std::optional<Duration> quantile(double percent) const;
    /// Weight of the samples held at present.
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
