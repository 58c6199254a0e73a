#pragma once

#include "Pimentoward/Core/Clock.h"

namespace pimentoward::tests {

/// A clock whose time changes only by calls of advance().
class VirtualClock final : public Clock
{
public:
    SteadyTime now() const override { return m_now; }
    WallTime wallNow() const override { return WallTime(std::chrono::hours(1)) + m_elapsed; }
    void advance(Duration step)
    {
        m_now += step;
        m_elapsed += std::chrono::duration_cast<WallTime::duration>(step);
    }

private:
    SteadyTime m_now {std::chrono::hours(1)};
    WallTime::duration m_elapsed {0};
};

} // namespace pimentoward::tests
