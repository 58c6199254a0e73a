#include "Pimentoward/Request/RetryAllocation.h"

#include <algorithm>
#include <cmath>

namespace pimentoward {

namespace {

/// Limits how many more parts than needed are sent again at once when nearly all attempts fail.
constexpr double minAnsweredShare = 0.25;

} // namespace

double RetryAllocation::expectedAnswers(const std::vector<Candidate> &candidates) const
{
    double sum = 0;
    for (const Candidate &candidate : candidates) {
        sum += 1 - std::pow(m_failedShare, candidate.retries);
    }
    return sum;
}

std::vector<std::size_t> RetryAllocation::partsToSend(std::vector<Candidate> candidates,
                                                      std::size_t needed) const
{
    std::vector<std::size_t> parts;
    if (needed == 0 || expectedAnswers(candidates) < static_cast<double>(needed)) {
        return parts;
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Candidate &a, const Candidate &b) { return a.retries > b.retries; });
    const double answeredShare = std::max(1 - m_failedShare, minAnsweredShare);
    const auto wanted
        = static_cast<std::size_t>(std::ceil(static_cast<double>(needed) / answeredShare));
    for (const Candidate &candidate : candidates) {
        if (parts.size() < wanted && candidate.retries > 0) {
            parts.push_back(candidate.part);
        }
    }
    return parts;
}

} // namespace pimentoward
