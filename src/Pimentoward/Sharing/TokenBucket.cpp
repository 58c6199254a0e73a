#include "Pimentoward/Sharing/TokenBucket.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Sums of fractions of a token may fall short of a whole one by rounding.
constexpr double roundingError = 1e-9;

} // namespace

TokenBucket::TokenBucket(const RateLimit &limit, SteadyTime now)
    : m_limit(limit)
    , m_at(now)
{ }

double TokenBucket::tokensAt(SteadyTime now) const
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_at).count());
    return std::min(m_tokens + seconds * m_limit.requestsPerSecond, m_limit.burst);
}

std::size_t TokenBucket::take(std::size_t wanted, SteadyTime now)
{
    m_tokens = tokensAt(now);
    m_at = std::max(m_at, now);
    const auto taken = std::min(wanted, static_cast<std::size_t>(m_tokens + roundingError));
    m_tokens = std::max(0.0, m_tokens - static_cast<double>(taken));
    return taken;
}

void TokenBucket::changeLimit(const RateLimit &limit, SteadyTime now)
{
    m_tokens = std::min(tokensAt(now), limit.burst);
    m_at = std::max(m_at, now);
    m_limit = limit;
}

Duration TokenBucket::timeToToken(SteadyTime now) const
{
    const double missing = 1 - roundingError - tokensAt(now);
    if (missing <= 0) {
        return Duration::zero();
    }
    if (m_limit.burst < 1 || m_limit.requestsPerSecond <= 0) {
        return Duration::max();
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(missing / m_limit.requestsPerSecond));
}

} // namespace pimentoward
