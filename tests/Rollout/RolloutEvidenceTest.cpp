#include "Pimentoward/Rollout/RolloutEvidence.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace pimentoward;

namespace {

constexpr unsigned seeds = 2000;
/// Replies that senders count before a roll-out has to end, with little traffic.
constexpr unsigned fewReplies = 120;

/// How often the replies of both versions are bad, in one phase of a roll-out.
struct Phase
{
    double target = 0;
    double other = 0;
};

enum class Verdict { Good, Bad };

/// Replays `replies` replies, nearly half of them from the target version, on two routes. The test
/// is applied after each of them. `badOnOneRoute` makes the second route sound.
Verdict verdict(unsigned seed, unsigned replies, const std::vector<Phase> &phases,
                bool badOnOneRoute = false)
{
    std::mt19937 random(seed);
    std::bernoulli_distribution fromTarget(0.45);
    std::bernoulli_distribution onFirstRoute(0.5);
    const RolloutEvidence evidence;
    RolloutCounts counts;
    for (unsigned index = 0; index < replies; ++index) {
        const Phase &phase = phases[index * phases.size() / replies];
        const bool isFirstRoute = onFirstRoute(random);
        const bool isTarget = fromTarget(random);
        const bool hasFault = isTarget && (isFirstRoute || !badOnOneRoute);
        const double share = hasFault ? phase.target : phase.other;
        ReplyComparison &comparison = counts[isFirstRoute ? "a" : "b"];
        ReplyCounts &version = isTarget ? comparison.target : comparison.other;
        ++(std::bernoulli_distribution(share)(random) ? version.bad : version.good);
        if (evidence.isBad(counts)) {
            return Verdict::Bad;
        }
    }
    return evidence.isBadAtEnd(counts) ? Verdict::Bad : Verdict::Good;
}

double shareOf(Verdict wanted, unsigned replies, const std::vector<Phase> &phases,
               bool badOnOneRoute = false)
{
    unsigned count = 0;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        count += verdict(seed, replies, phases, badOnOneRoute) == wanted ? 1 : 0;
    }
    return static_cast<double>(count) / seeds;
}

} // namespace

TEST_CASE("A version as good as the other one is called bad in at most 2 % of the roll-outs")
{
    constexpr double maxFalse = 0.02;
    CHECK(shareOf(Verdict::Bad, fewReplies, {{0, 0}}) <= maxFalse);
    CHECK(shareOf(Verdict::Bad, fewReplies, {{0.05, 0.05}}) <= maxFalse);
    // Both versions are slow or fail for a while.
    CHECK(shareOf(Verdict::Bad, fewReplies, {{0.02, 0.02}, {0.9, 0.9}, {0.02, 0.02}}) <= maxFalse);
    CHECK(shareOf(Verdict::Bad, 10 * fewReplies, {{0.05, 0.05}, {0.4, 0.4}}) <= maxFalse);
    CHECK(shareOf(Verdict::Bad, 10, {{0.1, 0.1}}) <= maxFalse);
}

TEST_CASE("A bad version is called good in at most 5 % of the roll-outs")
{
    constexpr double maxMissed = 0.05;
    // Failures of a part of the requests, slow replies of nearly all, later, and on one route.
    CHECK(shareOf(Verdict::Good, fewReplies, {{0.3, 0.01}}) <= maxMissed);
    CHECK(shareOf(Verdict::Good, fewReplies, {{0.95, 0.05}}) <= maxMissed);
    CHECK(shareOf(Verdict::Good, 2 * fewReplies, {{0.02, 0.02}, {0.5, 0.02}}) <= maxMissed);
    CHECK(shareOf(Verdict::Good, fewReplies, {{0.5, 0.02}}, true) <= maxMissed);
}

TEST_CASE("A comparison with a constant calls a good version bad when both versions are slow")
{
    // What the test above rules out, shown for a fixed limit of bad replies.
    constexpr double limit = 0.2;
    RolloutCounts counts;
    counts["a"] = {{40, 60}, {40, 60}};
    const ReplyCounts target = overAllRoutes(counts).target;
    CHECK(static_cast<double>(target.bad) > limit * static_cast<double>(target.total()));
    CHECK_FALSE(RolloutEvidence().isBadAtEnd(counts));
}
