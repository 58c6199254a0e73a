#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace pimentoward {

/// Decides how many subrequests a backend server gets at a time while it may be cold. A new server
/// starts cold; it rises step by step on successes at normal speed, and each sign of a new cold
/// start sends it back at once.
class ColdStart
{
public:
    enum class Phase { Cold, Warming, Warm };

    struct Settings
    {
        /// Subrequests at a time when warm.
        int slots = 1;
        /// Subrequests at a time when cold.
        int coldLimit = 1;
        /// Multiple of the normal service time above which a success counts as slow.
        double coldFactor = 4;
        /// Successes whose median decides about one step up.
        int samplesPerStep = 12;
        /// Multiple of the normal service time up to which that median permits the step.
        double normalFactor = 1.2;
        /// Slow successes in a row that send a warm server back to cold.
        int slowInRow = 3;
        /// Successes from which a normal service time is learned where none is known, and that a
        /// server which is cold for sure needs before its speed counts: time on the way may hide
        /// how slow it is.
        int firstSamples = 64;
        /// Successes at an even but slower speed after which that speed is the normal one.
        int relearnSamples = 256;
        /// Only for tests and benchmarks: false leaves the limit at `slots` always.
        bool isGuarding = true;
        /// Only for tests and benchmarks: false lets speed alone raise the limit.
        bool holdsBySuccesses = true;
    };

    explicit ColdStart(const Settings &settings);

    /// Takes new settings; the phase stays, the limit follows.
    void updateSettings(const Settings &settings);
    /// A subrequest dispatched in `generation` succeeded after `serviceTime`.
    void onSuccess(Duration serviceTime, std::uint64_t generation);
    /// A subrequest ended without success after `serviceTime`; only slowness counts.
    void onStopped(Duration serviceTime, std::uint64_t generation);
    /// A connection broke or an answer is missing.
    void onTrouble();
    /// The backend server refused work.
    void onRefused();
    /// The incarnation that a reply states; 0 is ignored.
    void onIncarnation(Incarnation incarnation);

    /// Subrequests at a time at present.
    int limit() const;
    Phase phase() const { return m_phase; }
    bool isCold() const { return m_phase != Phase::Warm; }
    /// Rises with each return to cold.
    std::uint64_t generation() const { return m_generation; }
    /// Normal service time of this server, as far as known.
    std::optional<Duration> normalServiceTime() const { return m_normal; }
    /// Mean service time of late; zero before the first success.
    Duration serviceTime() const { return m_recent; }

private:
    bool isSlow(Duration serviceTime) const;
    void onSlow();
    void collect(Duration serviceTime);
    void stepUpIfNormal();
    bool learnNormal();
    void becomeCold();
    /// A new incarnation or a refusal: cold whatever its speed seems to be.
    void onColdForSure();

    Settings m_settings;
    Phase m_phase = Phase::Cold;
    int m_warmLimit = 1;
    int m_slow = 0;
    std::uint64_t m_generation = 1;
    Incarnation m_incarnation = 0;
    /// Successes still to come before the speed counts.
    int m_heldSuccesses = 0;
    std::optional<Duration> m_normal;
    /// Least median of a quarter of the first successes, until the normal service time is known.
    std::optional<Duration> m_fastest;
    Duration m_recent {};
    /// Successes since the last step up.
    std::vector<Duration> m_step;
    /// Successes of this cold start, for learning the normal speed.
    std::vector<Duration> m_learning;
};

} // namespace pimentoward
