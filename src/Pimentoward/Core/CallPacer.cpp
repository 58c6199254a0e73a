#include "Pimentoward/Core/CallPacer.h"

#include <algorithm>
#include <cassert>

namespace pimentoward {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

CallPacer::CallPacer(double callsPerSecond, double burst)
    : m_rate(callsPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
    assert(callsPerSecond > 0 && burst > 0);
}

bool CallPacer::tryAcquire(SteadyTime now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

SteadyTime CallPacer::nextAllowed(SteadyTime now)
{
    refill(now);
    if (m_tokens >= 1) {
        return now;
    }
    return now + std::chrono::ceil<Duration>(Seconds((1 - m_tokens) / m_rate));
}

void CallPacer::changeRate(double callsPerSecond, SteadyTime now)
{
    assert(callsPerSecond > 0);
    refill(now);
    m_rate = callsPerSecond;
}

void CallPacer::refill(SteadyTime now)
{
    // The bucket is full at the first call.
    if (m_refilled != SteadyTime {}) {
        m_tokens = std::min(m_burst, m_tokens + Seconds(now - m_refilled).count() * m_rate);
    }
    m_refilled = now;
}

} // namespace pimentoward
