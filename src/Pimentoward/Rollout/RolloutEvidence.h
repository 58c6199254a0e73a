#pragma once

#include "Pimentoward/Rollout/RolloutRecords.h"

namespace pimentoward {

/// Compares two versions by a sequential test: the counts may be assessed after each reply, and the
/// probability that a version that is as good as the other one is ever called bad stays bounded.
///
/// Given that a reply is bad, it comes from the target version with a probability that depends only
/// on the versions' shares of the replies and on the odds between them. The test is the likelihood
/// ratio of "the target version is bad `oddsRatio` times as often" against "just as often".
/// Whatever makes both versions fail or slow down at the same time leaves the ratio unchanged.
///
/// Load pattern: a version that fails, or is slow, for a part of its requests, at once or later, on
/// all routes or on one; while other faults make both versions fail.
class RolloutEvidence
{
public:
    struct Settings
    {
        /// How much more often a bad version is bad than the other one.
        double oddsRatio = 4;
        /// Maximum probability that a version as good as the other one is called bad while the
        /// test runs.
        double falseAlarms = 0.01;
        /// Likelihood ratio from which a version is called bad when the roll-out has to end.
        double finalRatio = 10;
    };

    RolloutEvidence();
    explicit RolloutEvidence(const Settings &settings);

    /// True if the target version is bad, on one route or on all routes together.
    bool isBad(const RolloutCounts &counts) const;
    /// True if the target version is more probably bad than not, when no more can be learned.
    bool isBadAtEnd(const RolloutCounts &counts) const;

private:
    double logRatio(const ReplyComparison &comparison) const;
    bool exceeds(const RolloutCounts &counts, double ratio) const;

    Settings m_settings;
};

/// Sums the comparisons of all routes.
ReplyComparison overAllRoutes(const RolloutCounts &counts);

} // namespace pimentoward
