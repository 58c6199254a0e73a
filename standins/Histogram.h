#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <vector>

namespace pimentoward::standins {

/// Histogram of durations with a resolution of one microsecond. The width of a bucket is less than
/// 1 % of its values, or one microsecond. Quantiles are the lower edges of buckets; the maximum is
/// exact.
class Histogram
{
public:
    Histogram();

    /// Counts one duration; a negative one counts as zero.
    void record(Duration value);
    /// Adds all values of another histogram.
    void add(const Histogram &other);
    std::uint64_t count() const { return m_count; }
    /// Returns the value that the given share of the recorded values, from 0 to 1, does not exceed,
    /// or zero if nothing was recorded.
    Duration quantile(double share) const;
    Duration max() const { return m_max; }

private:
    /// Index of the bucket for a duration in microseconds.
    static std::size_t bucketOf(std::uint64_t micros);
    /// Minimum value of a bucket, in microseconds.
    static std::uint64_t lowerEdge(std::size_t bucket);

    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    Duration m_max {};
};

} // namespace pimentoward::standins
