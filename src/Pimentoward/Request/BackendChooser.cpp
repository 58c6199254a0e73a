#include "Pimentoward/Request/BackendChooser.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Bounds the cost of a backend server that has refused all recent attempts.
constexpr double minAcceptedShare = 0.1;

} // namespace

BackendChooser::BackendChooser(const Settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{ }

double BackendChooser::cost(const Candidate &candidate)
{
    std::uniform_real_distribution<double> jitter(0, m_settings.jitter);
    const double penalty = candidate.isLocal ? 0 : m_settings.remotePenalty;
    const double acceptedShare = std::max(1 - candidate.refusedShare, minAcceptedShare);
    return (candidate.slowness + penalty) / acceptedShare * (1 + jitter(m_random));
}

const BackendChooser::Candidate *BackendChooser::best(const std::vector<Candidate> &candidates,
                                                      const Filter &filter)
{
    const Candidate *best = nullptr;
    double bestCost = 0;
    for (const Candidate &candidate : candidates) {
        const bool isAcceptable = (!candidate.isSuspect || !filter.needsHealthy)
            && candidate.refusedShare <= filter.maxRefusedShare
            && candidate.isPreferred == filter.isPreferred;
        if (!candidate.hasFreeCapacity || !isAcceptable) {
            continue;
        }
        const double candidateCost = cost(candidate);
        if (best == nullptr || candidateCost < bestCost) {
            best = &candidate;
            bestCost = candidateCost;
        }
    }
    return best;
}

Gather::Choice BackendChooser::choose(const std::vector<Candidate> &candidates, SendPurpose purpose)
{
    const bool hasHealthy = std::any_of(candidates.begin(), candidates.end(),
                                        [](const Candidate &entry) { return !entry.isSuspect; });
    const bool needsHealthy = hasHealthy || purpose == SendPurpose::Hedge;
    const Candidate *chosen = nullptr;
    for (const double maxRefusedShare : {m_settings.usualRefusedShare, 1.0}) {
        if (maxRefusedShare == 1 && purpose == SendPurpose::Hedge) {
            break;
        }
        for (const bool isPreferred : {true, false}) {
            if (chosen == nullptr) {
                chosen = best(candidates, {isPreferred, needsHealthy, maxRefusedShare});
            }
        }
    }
    Gather::Choice choice;
    choice.mayBecomeAvailable = !candidates.empty();
    if (chosen != nullptr) {
        choice.backend = *chosen->id;
    }
    return choice;
}

} // namespace pimentoward
