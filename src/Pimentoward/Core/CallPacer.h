#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// A token bucket: bounds the rate of calls to a service that others share.
class CallPacer
{
public:
    /// Allows `callsPerSecond` on average and `burst` at once; both above 0.
    CallPacer(double callsPerSecond, double burst);

    /// Takes one call where the rate allows it.
    bool tryAcquire(SteadyTime now);
    /// When the next call is allowed.
    SteadyTime nextAllowed(SteadyTime now);
    /// Changes the rate, as when the number of sharers changes.
    void changeRate(double callsPerSecond, SteadyTime now);

private:
    void refill(SteadyTime now);

    double m_rate;
    double m_burst;
    double m_tokens;
    SteadyTime m_refilled {};
};

} // namespace pimentoward
