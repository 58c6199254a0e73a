#pragma once

#include "Pimentoward/Core/Types.h"

#include <optional>
#include <variant>
#include <vector>

namespace pimentoward {

/// Decides the steps of a planned stop: turn readiness off, leave the group, wait until running
/// work has ended, exit. The class does no input or output: it returns actions that the caller
/// of its methods carries out.
class Drain
{
public:
    struct Settings
    {
        /// Time during which requests are still accepted after readiness is turned off, so that the
        /// load balancer notices first.
        std::chrono::milliseconds readinessDelay {2000};
        /// Minimum time that the process keeps running after the handover. Requests that other VMs
        /// sent before they learned of the handover are refused with a reason during this time.
        /// Without it they would be lost with the connection.
        std::chrono::milliseconds settleTime {500};
        /// Maximum duration of the stop. After this time the process exits even if work is running.
        std::chrono::milliseconds limit {30'000};
        /// Time before the limit at which every request that still runs is answered, whatever the
        /// state of its work. It suffices to write the answers.
        std::chrono::milliseconds answerMargin {300};
        /// Stops accepting requests before the last count of running requests. Without it a request
        /// that arrives between that count and the exit would be lost. Under continued arrivals no
        /// count is 0, so requests are accepted until the last answers are due at the latest.
        bool stopsAcceptingFirst = false;
        /// Waits until running work has ended before the process exits. Disabled in tests only;
        /// running requests are then cut off.
        bool waitsForRunningWork = true;
    };

    /// Make /health/ready answer "not ready". Requests are still accepted if they can be answered
    /// in time.
    struct TurnReadinessOff
    {
        /// When all requests, running and new ones, have to be answered.
        SteadyTime lastAnswerAt {};
    };
    /// Leave the group, hand over all backend servers and refuse new caller requests.
    struct Leave
    { };
    /// Accept no more requests and close the connections on which none is running.
    struct StopAccepting
    { };
    /// End the process. `cut` is the amount of running work at the last count; it is 0 if work has
    /// not been counted since the handover.
    struct Exit
    {
        std::size_t cut = 0;
        /// Short text for the log.
        const char *reason = "";
    };
    using Action = std::variant<TurnReadinessOff, Leave, StopAccepting, Exit>;
    using Actions = std::vector<Action>;

    explicit Drain(const Settings &settings);

    /// Replaces the settings. Has no effect once a stop has been requested.
    void changeSettings(const Settings &settings);
    /// Starts a planned stop. Has no effect if one is under way: service managers may repeat the
    /// signal, and that must not cut running requests.
    Actions onStopSignal(SteadyTime now);
    /// Handles a signal from the operator's terminal: starts a planned stop, or ends the process at
    /// once if a stop is under way.
    Actions onInterrupt(SteadyTime now);
    /// Must be called once all backend servers of this VM have been handed over to other owners.
    void onOwnershipReleased(SteadyTime now);
    /// Reports how much work runs on this VM now: queries, orders, settlements and subrequests.
    void onRunningCount(std::size_t running);
    /// Must be called once StopAccepting has been carried out. Discards earlier counts of running
    /// work.
    void onStoppedAccepting();
    /// Must be called at least every 100 ms once a stop has been requested.
    Actions tick(SteadyTime now);
    /// True once a stop has been requested.
    bool isDraining() const { return m_phase != Phase::Serving; }

private:
    enum class Phase { Serving, NotReady, Leaving, Exited };

    Actions exit(const char *reason);
    SteadyTime lastAnswerAt() const
    {
        return m_startedAt + m_settings.limit - m_settings.answerMargin;
    }

    Settings m_settings;
    Phase m_phase = Phase::Serving;
    SteadyTime m_startedAt {};
    /// When all backend servers had been handed over.
    std::optional<SteadyTime> m_releasedAt;
    bool m_isAccepting = true;
    /// Running work at the last count that is still valid; empty if there is none.
    std::optional<std::size_t> m_running;
};

} // namespace pimentoward
