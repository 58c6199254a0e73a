#pragma once

#include "Pimentoward/Core/Types.h"

#include <vector>

namespace pimentoward {

/// Tracks the response times and failures that one VM observes at one backend server, and estimates
/// from them how long the next request there will take. Performs no I/O.
///
/// Load pattern: each backend server pauses for a moment every few seconds. Some become several
/// times slower or stop answering for seconds, and none of them reports it. An overdue request is
/// the first sign; further requests go to other replicas until a reply arrives.
class BackendHealth
{
public:
    struct Settings
    {
        /// Weight of one reply in the exponential moving average of the slowness.
        double sampleWeight = 0.25;
        /// Time in which the observed slowness decays halfway back to normal (1).
        Duration decayHalfLife = std::chrono::seconds(4);
        /// Slowness that each request in flight adds to the estimate for the next one.
        double inFlightWeight = 0.3;
        /// Time for which the backend server stays suspect after the first failure. It doubles with
        /// each consecutive failure, up to `maxBackoff`.
        Duration initialBackoff = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::seconds(2);
    };

    BackendHealth();
    explicit BackendHealth(const Settings &settings);

    /// Records that a request was sent, which is overdue after `overdueAfter`. Returns a number
    /// that identifies the request.
    unsigned onSent(SteadyTime now, Duration overdueAfter);
    /// Records that a request was answered in `ratio` times the usual time. Returns true if this
    /// ends a series of consecutive failures.
    bool onReplied(unsigned number, SteadyTime now, double ratio);
    /// Records that a request broke or was refused by the backend server. Returns true if this is
    /// the first of a series of consecutive failures.
    bool onFailed(unsigned number, SteadyTime now);

    std::size_t inFlight() const { return m_inFlight.size(); }
    /// True while a request is overdue, and during the back-off after a failure.
    bool isSuspect(SteadyTime now) const;
    /// Expected time of one more request, as a multiple of the usual time.
    double expectedSlowness(SteadyTime now) const;

private:
    /// A request in flight.
    struct Sent
    {
        unsigned number = 0;
        SteadyTime overdueAt {};
    };

    /// Removes a request from those in flight. Returns false if it is not in flight.
    bool removeInFlight(unsigned number);
    /// The observed slowness, decayed towards 1 by the time since the last reply.
    double decayedSlowness(SteadyTime now) const;

    Settings m_settings;
    std::vector<Sent> m_inFlight;
    unsigned m_lastNumber = 0;
    double m_slowness = 1;
    SteadyTime m_slownessUpdatedAt {};
    unsigned m_consecutiveFailures = 0;
    SteadyTime m_backoffUntil {};
};

} // namespace pimentoward
