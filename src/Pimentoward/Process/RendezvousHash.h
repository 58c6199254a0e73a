#pragma once

#include "Pimentoward/Core/Types.h"

#include <optional>
#include <vector>

namespace pimentoward {

/// Chooses an owner among members by highest random weight, so that a change of one member moves
/// only the backend servers of that member.
class RendezvousHash
{
public:
    struct Candidate
    {
        MemberId id;
        FailureDomain failureDomain;
    };

    /// All candidates in the order of preference for `backendServer`: members of `preferred`
    /// failure domain first, each group by falling weight. Equal on every VM.
    static std::vector<MemberId> ranking(const std::vector<Candidate> &candidates,
                                         const BackendServerId &backendServer,
                                         const FailureDomain &preferred);
    /// The first of ranking(), or nothing where there is no candidate.
    static std::optional<MemberId> owner(const std::vector<Candidate> &candidates,
                                         const BackendServerId &backendServer,
                                         const FailureDomain &preferred);
};

} // namespace pimentoward
