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
    const double way = candidate.isNear ? 0 : m_settings.farWeight;
    return (candidate.slowness + way) * (1 + jitter(m_random));
}

const BackendChooser::Candidate *BackendChooser::best(const std::vector<Candidate> &candidates,
                                                      bool isPreferred, bool needsSound)
{
    const Candidate *best = nullptr;
    double bestCost = 0;
    for (const Candidate &candidate : candidates) {
        const bool isSound = !candidate.isSuspect || !needsSound;
        if (!candidate.hasRoom || candidate.isPreferred != isPreferred || !isSound) {
            continue;
        }
        const double thisCost = cost(candidate);
        if (best == nullptr || thisCost < bestCost) {
            best = &candidate;
            bestCost = thisCost;
        }
    }
    return best;
}

Gather::Choice BackendChooser::choose(const std::vector<Candidate> &candidates, SendPurpose purpose)
{
    const bool hasSound = std::any_of(candidates.begin(), candidates.end(),
                                      [](const Candidate &entry) { return !entry.isSuspect; });
    const bool needsSound = hasSound || purpose == SendPurpose::Hedge;
    const Candidate *chosen = best(candidates, true, needsSound);
    if (chosen == nullptr) {
        chosen = best(candidates, false, needsSound);
    }
    Gather::Choice choice;
    choice.mayComeLater = !candidates.empty();
    if (chosen != nullptr) {
        choice.to = *chosen->id;
    }
    return choice;
}

} // namespace pimentoward
