#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// Source of time. Classes that only make decisions get the time as an argument; only classes that
/// run on a task's event loop hold a clock.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Monotonic time, for deadlines, leases and delays.
    virtual SteadyTime now() const = 0;
    /// Wall-clock time, for IndexSchedule and for expiry times given by callers.
    virtual WallTime wallNow() const = 0;
};

} // namespace pimentoward
