#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace pimentoward {

/// Decides how many subrequests a backend server that may be cold gets at a time. A new server
/// starts cold. Its limit rises step by step while successes take the normal time, and each sign of
/// a new cold start resets it at once.
class ColdStart
{
public:
    /// The state of the backend server. A warming server has shown normal service times, and its
    /// limit is rising to `slots`.
    enum class Phase { Cold, Warming, Warm };

    struct Settings
    {
        /// Maximum number of concurrent subrequests when warm.
        int slots = 1;
        /// Maximum number of concurrent subrequests when cold.
        int coldLimit = 1;
        /// A subrequest is slow if it takes longer than this multiple of the normal service time.
        double coldFactor = 4;
        /// Number of successes whose median decides about one step up.
        int samplesPerStep = 12;
        /// The step up is made if that median is at most this multiple of the normal service time.
        double normalFactor = 1.2;
        /// Number of consecutive slow subrequests after which a warm server counts as cold.
        int consecutiveSlowLimit = 3;
        /// Number of successes from which the normal service time is learned if none is known.
        /// After a confirmed cold start (a new incarnation or a refusal), the same number of
        /// successes is needed before service times count, because network delay may hide how slow
        /// the server is.
        int initialSamples = 64;
        /// Number of successes with steady but longer service times after which these become the
        /// normal ones.
        int relearnSamples = 256;
        /// Applies the limit for cold and warming servers. If false, the limit is always `slots`.
        /// Set to false only in tests and benchmarks.
        bool appliesColdLimit = true;
        /// Requires `initialSamples` successes after a confirmed cold start before the limit can
        /// rise. If false, normal service times alone raise it. Set to false only in tests and
        /// benchmarks.
        bool requiresColdSuccesses = true;
    };

    explicit ColdStart(const Settings &settings);

    /// Applies new settings. The limit is adapted; a warm server counts as warming if it has more
    /// slots than before.
    void updateSettings(const Settings &settings);
    /// To be called when a subrequest that was dispatched in `generation` has succeeded after
    /// `serviceTime`.
    void onSuccess(Duration serviceTime, std::uint64_t generation);
    /// To be called when a subrequest ended without success after `serviceTime`. Only a slow end
    /// has an effect.
    void onUnsuccessfulEnd(Duration serviceTime, std::uint64_t generation);
    /// To be called when a connection broke or an answer is missing. The server counts as cold.
    void onCommunicationFailure();
    /// To be called when the backend server has refused work.
    void onRefused();
    /// To be called with the incarnation that a reply contains; 0 is ignored.
    void onIncarnation(Incarnation incarnation);

    /// Returns the current maximum number of concurrent subrequests.
    int limit() const;
    Phase phase() const { return m_phase; }
    /// Returns true unless the server is warm; a warming server counts as cold.
    bool isCold() const { return m_phase != Phase::Warm; }
    /// Returns a number that rises with each return to cold.
    std::uint64_t generation() const { return m_generation; }
    /// Returns the normal service time of this server if it is known.
    std::optional<Duration> normalServiceTime() const { return m_normalServiceTime; }
    /// Returns the mean of recent service times, or zero before the first success.
    Duration serviceTime() const { return m_recentServiceTime; }

private:
    bool isSlow(Duration serviceTime) const;
    void onSlow();
    void addSample(Duration serviceTime);
    void stepUpIfNormal();
    bool learnNormalServiceTime();
    void becomeCold();
    /// Handles a new incarnation or a refusal: the server is cold whatever its service times
    /// suggest.
    void onConfirmedColdStart();

    Settings m_settings;
    Phase m_phase = Phase::Cold;
    int m_warmLimit = 1;
    int m_consecutiveSlow = 0;
    std::uint64_t m_generation = 1;
    Incarnation m_incarnation = 0;
    /// Number of successes that are still needed before service times count.
    int m_requiredSuccesses = 0;
    std::optional<Duration> m_normalServiceTime;
    /// Smallest median that any quarter of the samples has had so far; used until the normal
    /// service time is known.
    std::optional<Duration> m_minQuarterMedian;
    Duration m_recentServiceTime {};
    /// Service times of the successes since the last step up.
    std::vector<Duration> m_stepSamples;
    /// Service times of the successes of this cold start, from which the normal service time is
    /// learned.
    std::vector<Duration> m_learningSamples;
};

} // namespace pimentoward
