#include "Pimentoward/Process/RendezvousHash.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentoward {

namespace {

struct Ranked
{
    bool preferred;
    std::uint64_t weight;
    const MemberId *id;
};

std::uint64_t weightOf(const MemberId &member, const BackendServerId &backendServer)
{
    // The server's hash seeds the member's, so that each pair gets an independent weight.
    const std::uint64_t seed = XXH64(backendServer.data(), backendServer.size(), 0);
    return XXH64(member.data(), member.size(), seed);
}

bool goesBefore(const Ranked &a, const Ranked &b)
{
    if (a.preferred != b.preferred) {
        return a.preferred;
    }
    if (a.weight != b.weight) {
        return a.weight > b.weight;
    }
    return *a.id < *b.id;
}

} // namespace

std::vector<MemberId> RendezvousHash::ranking(const std::vector<Candidate> &candidates,
                                              const BackendServerId &backendServer,
                                              const FailureDomain &preferred)
{
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        ranked.push_back({candidate.failureDomain == preferred,
                          weightOf(candidate.id, backendServer), &candidate.id});
    }
    std::sort(ranked.begin(), ranked.end(), goesBefore);
    std::vector<MemberId> result;
    result.reserve(ranked.size());
    for (const Ranked &entry : ranked) {
        result.push_back(*entry.id);
    }
    return result;
}

std::optional<MemberId> RendezvousHash::owner(const std::vector<Candidate> &candidates,
                                              const BackendServerId &backendServer,
                                              const FailureDomain &preferred)
{
    const Candidate *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const Candidate &candidate : candidates) {
        const std::uint64_t weight = weightOf(candidate.id, backendServer);
        const Ranked challenger {candidate.failureDomain == preferred, weight, &candidate.id};
        if (best == nullptr
            || goesBefore(challenger, {best->failureDomain == preferred, bestWeight, &best->id})) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

} // namespace pimentoward
