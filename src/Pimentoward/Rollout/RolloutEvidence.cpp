#include "Pimentoward/Rollout/RolloutEvidence.h"

#include <cmath>

namespace pimentoward {

ReplyComparison overAllRoutes(const RolloutCounts &counts)
{
    ReplyComparison sum;
    for (const auto &[route, comparison] : counts) {
        sum.add(comparison);
    }
    return sum;
}

RolloutEvidence::RolloutEvidence()
    : RolloutEvidence(Settings())
{ }

RolloutEvidence::RolloutEvidence(const Settings &settings)
    : m_settings(settings)
{ }

double RolloutEvidence::logRatio(const ReplyComparison &comparison) const
{
    const auto targetReplies = static_cast<double>(comparison.target.total());
    const auto otherReplies = static_cast<double>(comparison.other.total());
    // One reply is added to each version, so that a version without replies has a share as well.
    const double targetShare = (targetReplies + 1) / (targetReplies + otherReplies + 2);
    const double norm = m_settings.oddsRatio * targetShare + 1 - targetShare;
    return static_cast<double>(comparison.target.bad) * std::log(m_settings.oddsRatio / norm)
        - static_cast<double>(comparison.other.bad) * std::log(norm);
}

bool RolloutEvidence::exceeds(const RolloutCounts &counts, double ratio) const
{
    // One test for each route and one for all routes together share the bound on false alarms.
    const double limit = std::log(ratio * static_cast<double>(counts.size() + 1));
    if (logRatio(overAllRoutes(counts)) >= limit) {
        return true;
    }
    return std::any_of(counts.begin(), counts.end(),
                       [&](const auto &entry) { return logRatio(entry.second) >= limit; });
}

bool RolloutEvidence::isBad(const RolloutCounts &counts) const
{
    return exceeds(counts, 1 / m_settings.falseAlarms);
}

bool RolloutEvidence::isBadAtEnd(const RolloutCounts &counts) const
{
    return exceeds(counts, m_settings.finalRatio);
}

} // namespace pimentoward
