#include "Pimentoward/Process/RendezvousHash.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pimentoward {

namespace {

struct Ranked
{
    bool preferred;
    std::uint64_t weight;
    const MemberId *id;
};

bool ranksBefore(const Ranked &a, const Ranked &b)
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

std::uint64_t RendezvousHash::weight(const MemberId &member, const BackendServerId &backendServer)
{
    // The hash of the backend server is the seed for the hash of the member, so that each pair gets
    // an independent weight.
    const std::uint64_t seed = XXH64(backendServer.data(), backendServer.size(), 0);
    return XXH64(member.data(), member.size(), seed);
}

std::size_t RendezvousHash::rank(const std::vector<MemberId> &members, const MemberId &member,
                                 const BackendServerId &backendServer)
{
    const auto key
        = [&](const MemberId &id) { return std::make_pair(weight(id, backendServer), id); };
    const auto memberKey = key(member);
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [&](const MemberId &id) { return key(id) > memberKey; }));
}

std::vector<MemberId> RendezvousHash::ranking(const std::vector<Candidate> &candidates,
                                              const BackendServerId &backendServer,
                                              const FailureDomain &preferred)
{
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        ranked.push_back({candidate.failureDomain == preferred, weight(candidate.id, backendServer),
                          &candidate.id});
    }
    std::sort(ranked.begin(), ranked.end(), ranksBefore);
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
        const std::uint64_t candidateWeight = weight(candidate.id, backendServer);
        const Ranked candidateRank {candidate.failureDomain == preferred, candidateWeight,
                                    &candidate.id};
        if (best == nullptr
            || ranksBefore(candidateRank,
                           {best->failureDomain == preferred, bestWeight, &best->id})) {
            best = &candidate;
            bestWeight = candidateWeight;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

} // namespace pimentoward
