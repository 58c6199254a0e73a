#include "Pimentoward/Request/BackendChooser.h"

#include <algorithm>

namespace pimentoward {

BackendChooser::BackendChooser(const Settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{ }

double BackendChooser::cost(const Candidate &candidate)
{
    std::uniform_real_distribution<double> jitter(0, m_settings.jitter);
    const double penalty = candidate.isLocal ? 0 : m_settings.remotePenalty;
    return (candidate.slowness + penalty) * (1 + jitter(m_random));
}

const BackendChooser::Candidate *BackendChooser::best(const std::vector<Candidate> &candidates,
                                                      bool isPreferred, bool needsHealthy)
{
    const Candidate *best = nullptr;
    double bestCost = 0;
    for (const Candidate &candidate : candidates) {
        const bool isAcceptable = !candidate.isSuspect || !needsHealthy;
        if (!candidate.hasFreeCapacity || candidate.isPreferred != isPreferred || !isAcceptable) {
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
    const Candidate *chosen = best(candidates, true, needsHealthy);
    if (chosen == nullptr) {
        chosen = best(candidates, false, needsHealthy);
    }
    Gather::Choice choice;
    choice.mayBecomeAvailable = !candidates.empty();
    if (chosen != nullptr) {
        choice.backend = *chosen->id;
    }
    return choice;
}

} // namespace pimentoward
