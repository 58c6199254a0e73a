#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstdint>
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
    /// How many of `members` come before `member` for `backendServer`, whatever their failure
    /// domain. Equal on every VM that knows the same members.
    static std::size_t rank(const std::vector<MemberId> &members, const MemberId &member,
                            const BackendServerId &backendServer);
    /// The weight of a pair; spread evenly over all values.
    static std::uint64_t weight(const MemberId &member, const BackendServerId &backendServer);
};

} // namespace pimentoward
