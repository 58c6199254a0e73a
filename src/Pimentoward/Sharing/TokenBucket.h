#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Version/Workspace.h"

#include <cstddef>

namespace pimentoward {

/// The tokens of a rate limit, or of a part of one. In any time `t` it gives out at most
/// `requestsPerSecond * t + burst` tokens. Does no input or output.
class TokenBucket
{
public:
    /// Starts without tokens.
    TokenBucket(const RateLimit &limit, SteadyTime now);

    /// Takes up to `wanted` whole tokens and returns how many.
    std::size_t take(std::size_t wanted, SteadyTime now);
    /// Applies another limit. Tokens beyond its burst are lost at once.
    void changeLimit(const RateLimit &limit, SteadyTime now);
    /// Time until the bucket holds a whole token; zero if it holds one, and the maximum if it never
    /// will.
    Duration timeToToken(SteadyTime now) const;

private:
    double tokensAt(SteadyTime now) const;

    RateLimit m_limit;
    double m_tokens = 0;
    SteadyTime m_at;
};

} // namespace pimentoward
