#pragma once

#include "Pimentoward/Core/Types.h"

#include <vector>

namespace pimentoward {

/// What one VM has seen of one backend server, and what that says of the next request there. Does
/// no input or output.
///
/// Load pattern: each backend server pauses for a moment every few seconds, some turn several times
/// slower or fall silent for seconds, and none says so. A request that is overdue there is the
/// first sign; the next ones go elsewhere until a reply comes.
class BackendHealth
{
public:
    struct Settings
    {
        /// Weight of one reply in the running mean of the slowness.
        double sampleWeight = 0.25;
        /// Time after which half of what was learned is forgotten.
        Duration forgetHalfLife = std::chrono::seconds(4);
        /// Slowness that one request in flight adds for the next one.
        double inFlightWeight = 0.3;
        /// First and longest time without requests after failures in a row.
        Duration firstPause = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::seconds(2);
    };

    BackendHealth();
    explicit BackendHealth(const Settings &settings);

    /// A request has been sent; it is overdue after `overdueAfter`. Gives its number.
    unsigned onSent(SteadyTime now, Duration overdueAfter);
    /// It has been answered in `ratio` times the usual time. True where that ends a row of
    /// failures.
    bool onReplied(unsigned number, SteadyTime now, double ratio);
    /// It broke, or the backend server refused it. True where that begins a row of failures.
    bool onFailed(unsigned number, SteadyTime now);

    std::size_t inFlight() const { return m_inFlight.size(); }
    /// True while a request is overdue, or for a while after failures.
    bool isSuspect(SteadyTime now) const;
    /// Expected time of one more request, as a multiple of the usual time.
    double expectedSlowness(SteadyTime now) const;

private:
    struct Sent
    {
        unsigned number = 0;
        SteadyTime overdueAt {};
    };

    /// Removes a request from those in flight; false where it is none of them.
    bool take(unsigned number);
    double learnedSlowness(SteadyTime now) const;

    Settings m_settings;
    std::vector<Sent> m_inFlight;
    unsigned m_lastNumber = 0;
    double m_slowness = 1;
    SteadyTime m_learnedAt {};
    unsigned m_failuresInRow = 0;
    SteadyTime m_pausedUntil {};
};

} // namespace pimentoward
