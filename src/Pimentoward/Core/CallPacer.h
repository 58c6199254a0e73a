#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// A token bucket that limits the rate of calls to a service that others use too.
class CallPacer
{
public:
    /// Allows `callsPerSecond` calls per second on average and `burst` calls at once; both must be
    /// above 0.
    CallPacer(double callsPerSecond, double burst);

    /// Returns true and counts one call if the rate allows a call now.
    bool tryAcquire(SteadyTime now);
    /// Returns the time at which the next call is allowed.
    SteadyTime nextAllowed(SteadyTime now);
    /// Changes the rate, for example when the number of processes that share the service has
    /// changed.
    void changeRate(double callsPerSecond, SteadyTime now);

private:
    void refill(SteadyTime now);

    double m_rate;
    double m_burst;
    double m_tokens;
    SteadyTime m_refilled {};
};

} // namespace pimentoward
