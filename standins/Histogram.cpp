#include "standins/Histogram.h"

#include <algorithm>
#include <cmath>

namespace pimentoward::standins {

namespace {

/// Base-2 logarithm of the number of buckets between a value and its double.
constexpr unsigned bitsPerDoubling = 7;
constexpr std::uint64_t bucketsPerDoubling = std::uint64_t {1} << bitsPerDoubling;
/// Number of doublings that the buckets cover. They reach beyond 2^40 microseconds, which is twelve
/// days. Longer durations are counted in the last bucket.
constexpr std::size_t doublings = 34;

} // namespace

Histogram::Histogram()
    : m_buckets(bucketsPerDoubling * (doublings + 1), 0)
{ }

std::size_t Histogram::bucketOf(std::uint64_t micros)
{
    std::size_t shift = 0;
    while ((micros >> shift) >= 2 * bucketsPerDoubling) {
        ++shift;
    }
    return shift * bucketsPerDoubling + (micros >> shift);
}

std::uint64_t Histogram::lowerEdge(std::size_t bucket)
{
    if (bucket < 2 * bucketsPerDoubling) {
        return bucket;
    }
    const std::size_t shift = bucket / bucketsPerDoubling - 1;
    return (bucket - shift * bucketsPerDoubling) << shift;
}

void Histogram::record(Duration value)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    const std::size_t bucket = bucketOf(static_cast<std::uint64_t>(std::max<long>(0, micros)));
    ++m_buckets[std::min(bucket, m_buckets.size() - 1)];
    ++m_count;
    m_max = std::max(m_max, value);
}

void Histogram::add(const Histogram &other)
{
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        m_buckets[bucket] += other.m_buckets[bucket];
    }
    m_count += other.m_count;
    m_max = std::max(m_max, other.m_max);
}

Duration Histogram::quantile(double share) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(m_count)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        seen += m_buckets[bucket];
        if (m_buckets[bucket] > 0 && seen >= rank) {
            return std::chrono::microseconds(lowerEdge(bucket));
        }
    }
    return Duration::zero();
}

} // namespace pimentoward::standins
