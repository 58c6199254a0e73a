#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// Bounds the extra subrequests (hedges or retries) of one service to a share of its primaries.
///
/// Each primary earns the share of a token. Tokens are lost at the end of each second, so that
/// the bound holds in every second, also after idle time. Seconds are those of this process's
/// monotonic clock.
class RetryBudget
{
public:
    /// What may be sent besides the primaries.
    struct Settings
    {
        /// Extra subrequests allowed, in percent of the primaries of the same second.
        double percent = 5;
        /// Extra subrequests allowed in any second, however few primaries there are.
        unsigned minPerSecond = 0;
        /// False lets everything pass; for tests that show what the budget prevents.
        bool isEnforced = true;
    };

    RetryBudget();
    explicit RetryBudget(const Settings &settings);

    /// Takes changed settings; what was earned and spent in this second stays.
    void update(const Settings &settings) { m_settings = settings; }
    /// Earns for one primary subrequest sent at `now`.
    void addPrimary(SteadyTime now);
    /// Takes a token for one extra subrequest sent at `now`; false where there is none.
    bool tryAcquire(SteadyTime now);
    /// Extra subrequests let through since the start.
    std::uint64_t acquired() const { return m_acquired; }
    /// Extra subrequests refused since the start.
    std::uint64_t refused() const { return m_refused; }

private:
    void resetIfNewSecond(SteadyTime now);

    Settings m_settings;
    std::chrono::seconds m_second {-1};
    std::uint64_t m_primaries = 0;
    std::uint64_t m_extraRequests = 0;
    std::uint64_t m_acquired = 0;
    std::uint64_t m_refused = 0;
};

} // namespace pimentoward
