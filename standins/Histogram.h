#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <vector>

namespace pimentoward::standins {

/// Durations in buckets whose width is below 1 % of their value; quantiles are bucket lower edges,
/// the maximum is exact. Resolution: one microsecond.
class Histogram
{
public:
    Histogram();

    void record(Duration value);
    void add(const Histogram &other);
    std::uint64_t count() const { return m_count; }
    /// Value that `share` (0 to 1) of the recorded values do not exceed; zero where there is none.
    Duration quantile(double share) const;
    Duration max() const { return m_max; }

private:
    static std::size_t bucketOf(std::uint64_t micros);
    static std::uint64_t lowerEdge(std::size_t bucket);

    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    Duration m_max {};
};

} // namespace pimentoward::standins
