#pragma once

#include <chrono>
#include <cstddef>

namespace pimentoward {

/// What callers may send, and how long they may take or stay idle.
struct CallerLimits
{
    std::size_t headBytes = 65'536;
    std::size_t bodyBytes = 1'048'576;
    /// From the first byte of a request to the end of its head.
    std::chrono::milliseconds headTimeout {10'000};
    /// A connection without a request is closed after this time.
    std::chrono::milliseconds idleTimeout {60'000};
};

} // namespace pimentoward
