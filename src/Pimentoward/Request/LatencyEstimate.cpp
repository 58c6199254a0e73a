#include "Pimentoward/Request/LatencyEstimate.h"

#include <algorithm>
#include <cmath>

namespace pimentoward {

namespace {

/// End of the first bucket, which holds all shorter times.
constexpr std::chrono::microseconds firstBucketEnd {50};

} // namespace

LatencyEstimate::LatencyEstimate()
    : LatencyEstimate(Settings())
{ }

LatencyEstimate::LatencyEstimate(const Settings &settings)
    : m_settings(settings)
{ }

void LatencyEstimate::add(Duration time)
{
    m_counts[bucketIndex(time)] += 1;
    m_weight += 1;
    if (m_weight >= m_settings.halvingWeight) {
        halve();
    }
}

std::optional<Duration> LatencyEstimate::quantile(double percent) const
{
    constexpr double hundredPercent = 100;
    if (m_weight < m_settings.minSamples) {
        return std::nullopt;
    }
    const double targetWeight = m_weight * percent / hundredPercent;
    double cumulativeWeight = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulativeWeight += m_counts[bucket];
        if (cumulativeWeight >= targetWeight) {
            return bucketEnd(bucket);
        }
    }
    return bucketEnd(bucketCount - 1);
}

std::size_t LatencyEstimate::bucketIndex(Duration time)
{
    if (time <= firstBucketEnd) {
        return 0;
    }
    const double ratio
        = static_cast<double>(time.count()) / static_cast<double>(Duration(firstBucketEnd).count());
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log2(ratio) * bucketsPerDoubling));
    return std::min(bucket, bucketCount - 1);
}

Duration LatencyEstimate::bucketEnd(std::size_t bucket)
{
    const double factor = std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
    const double nanos = static_cast<double>(Duration(firstBucketEnd).count()) * factor;
    return Duration(static_cast<std::int64_t>(nanos));
}

void LatencyEstimate::halve()
{
    constexpr float half = 0.5F;
    m_weight = 0;
    for (float &count : m_counts) {
        count *= half;
        m_weight += count;
    }
}

} // namespace pimentoward
