#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace pimentoward {

/// Chooses an owner among members by rendezvous hashing (highest random weight): adding or removing
/// one member moves only the backend servers of that member.
class RendezvousHash
{
public:
    /// A member that can be chosen as owner.
    struct Candidate
    {
        MemberId id;
        FailureDomain failureDomain;
    };

    /// Returns all candidates in order of preference for `backendServer`: first the members of the
    /// failure domain `preferred`, then the others, both by decreasing weight. Every VM gets the
    /// same result for the same candidates.
    static std::vector<MemberId> ranking(const std::vector<Candidate> &candidates,
                                         const BackendServerId &backendServer,
                                         const FailureDomain &preferred);
    /// Returns the first of ranking(), or nullopt if there are no candidates.
    static std::optional<MemberId> owner(const std::vector<Candidate> &candidates,
                                         const BackendServerId &backendServer,
                                         const FailureDomain &preferred);
    /// Returns how many of `members` precede `member` for `backendServer`, regardless of their
    /// failure domains. Every VM gets the same result for the same members.
    static std::size_t rank(const std::vector<MemberId> &members, const MemberId &member,
                            const BackendServerId &backendServer);
    /// Returns the weight of a pair. Weights are uniformly distributed over all 64-bit values.
    static std::uint64_t weight(const MemberId &member, const BackendServerId &backendServer);
};

} // namespace pimentoward
