#pragma once

#include <chrono>
#include <cstddef>

namespace pimentoward {

/// Limits of an HttpServer.
struct HttpServerSettings
{
    /// Maximum size of a request body. A larger one is refused with status 413.
    std::size_t maxBodyBytes = 1'048'576;
    /// Maximum size of the header fields.
    std::size_t maxHeaderBytes = 16'384;
    /// A connection without traffic is closed after this time.
    std::chrono::seconds idleTimeout {60};
};

} // namespace pimentoward
