#pragma once

#include <chrono>
#include <cstddef>

namespace pimentoward {

/// Limits of an HttpServer.
struct HttpServerSettings
{
    /// Longest body, in bytes; a longer one is refused with 413.
    std::size_t maxBodyBytes = 1'048'576;
    /// Longest header block, in bytes.
    std::size_t longestHeaders = 16'384;
    /// A connection on which nothing moves for this long is closed.
    std::chrono::seconds idleTimeout {60};
};

} // namespace pimentoward
