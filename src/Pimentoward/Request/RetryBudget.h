#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// Limits the extra subrequests (hedges or retries) of one service to a share of its primary
/// subrequests, which are the first ones sent for a shard.
///
/// Each primary subrequest adds a fraction of a token, and each extra subrequest costs one token.
/// Unused tokens expire at the end of each second, so that the limit holds in every second, also
/// after idle time. Seconds are counted on the monotonic clock of this process.
class RetryBudget
{
public:
    /// The limits on extra subrequests.
    struct Settings
    {
        /// Extra subrequests allowed, in percent of the primary subrequests of the same second.
        double percent = 5;
        /// Extra subrequests allowed in every second even if the percentage allows fewer.
        unsigned minPerSecond = 0;
        /// Enforces the limits. Only tests switch this off, to show what the budget prevents.
        bool isEnforced = true;
    };

    RetryBudget();
    explicit RetryBudget(const Settings &settings);

    /// Applies changed settings. The counts of the current second are kept.
    void update(const Settings &settings) { m_settings = settings; }
    /// Counts one primary subrequest sent at `now`.
    void addPrimary(SteadyTime now);
    /// Acquires a token for one extra subrequest sent at `now`. Returns false if there is none.
    bool tryAcquire(SteadyTime now);
    /// Extra subrequests allowed since the start.
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
