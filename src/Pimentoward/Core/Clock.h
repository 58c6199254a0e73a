#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// Source of time. Decision classes take the time as an argument; only tasks hold a clock.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Monotonic time, for deadlines, leases and delays.
    virtual SteadyTime now() const = 0;
    /// Civil time, for the schedule and for expiries given by callers.
    virtual WallTime wallNow() const = 0;
};

} // namespace pimentoward
