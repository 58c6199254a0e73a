#pragma once

#include <chrono>
#include <cstddef>

namespace pimentoward {

/// Limits on the size of requests and on the time that callers may take.
struct CallerLimits
{
    /// Maximum size of the request line and the header fields.
    std::size_t headBytes = 65'536;
    /// Maximum size of a request body.
    std::size_t bodyBytes = 1'048'576;
    /// Maximum time from reading the first byte of a request until all of it, with its body, has
    /// been read.
    std::chrono::milliseconds requestTimeout {10'000};
    /// A connection on which no request arrives is closed after this time.
    std::chrono::milliseconds idleTimeout {60'000};
};

} // namespace pimentoward
