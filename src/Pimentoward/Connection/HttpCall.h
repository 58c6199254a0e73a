#pragma once

#include "Pimentoward/Core/Types.h"

#include <string>
#include <utility>
#include <vector>

namespace pimentoward {

/// One HTTP request to send.
struct HttpCall
{
    std::string method = "GET";
    /// Path with its query part.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The call fails where no whole answer has come after this time.
    Duration timeout = std::chrono::seconds(5);
};

} // namespace pimentoward
