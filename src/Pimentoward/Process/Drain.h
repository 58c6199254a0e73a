#pragma once

#include "Pimentoward/Core/Types.h"

#include <optional>
#include <variant>
#include <vector>

namespace pimentoward {

/// Decisions of a planned stop: readiness off, leave the group, let running work end, exit. Does no
/// input or output.
class Drain
{
public:
    struct Settings
    {
        /// Time for which requests are still taken after readiness is off, so that the balancer
        /// notices first.
        std::chrono::milliseconds readinessDelay {2000};
        /// Time after the handover for which requests that others sent before they heard of it are
        /// still refused by name, in place of being lost with the connection.
        std::chrono::milliseconds settleTime {500};
        /// The process ends after this time, whatever still runs.
        std::chrono::milliseconds limit {30'000};
        /// Takes nothing new before the last look at what runs: a request that arrives between that
        /// look and the exit would be lost.
        bool stopsAcceptingFirst = false;
        /// Off in tests only: ends without waiting for running work.
        bool waitsForRunningWork = true;
    };

    /// /health/ready answers "not ready" from now on; requests are still taken.
    struct TurnReadinessOff
    { };
    /// Leave the group and hand over all backend servers; new caller requests are refused.
    struct Leave
    { };
    /// No request is taken any more, and connections without one are closed.
    struct StopAccepting
    { };
    /// End the process; `cut` requests were still running.
    struct Exit
    {
        std::size_t cut = 0;
    };
    using Action = std::variant<TurnReadinessOff, Leave, StopAccepting, Exit>;
    using Actions = std::vector<Action>;

    explicit Drain(const Settings &settings);

    /// Takes other times; no effect once a stop has been asked for.
    void changeSettings(const Settings &settings);
    /// A stop is asked for; a second time it means "at once".
    Actions onStopSignal(SteadyTime now);
    /// All backend servers have other owners.
    void onOwnershipReleased(SteadyTime now);
    /// Work that runs on this VM at present: queries, orders, settlements and subrequests.
    void onRunningCount(std::size_t running);
    /// StopAccepting has been carried out; what runs is to be counted anew.
    void onStoppedAccepting();
    /// To be called at least every 100 ms once a stop has been asked for.
    Actions tick(SteadyTime now);
    bool isDraining() const { return m_phase != Phase::Serving; }

private:
    enum class Phase { Serving, NotReady, Leaving, Exited };

    Actions exit();

    Settings m_settings;
    Phase m_phase = Phase::Serving;
    SteadyTime m_started {};
    std::optional<SteadyTime> m_releasedAt;
    bool m_isTaking = true;
    /// Unknown until it was counted after the leave.
    std::optional<std::size_t> m_running;
};

} // namespace pimentoward
