#pragma once

#include "Pimentoward/Core/Clock.h"

namespace pimentoward {

/// Reads the clocks of the operating system.
class SystemClock final : public Clock
{
public:
    SteadyTime now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace pimentoward
