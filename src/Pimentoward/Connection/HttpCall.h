#pragma once

#include "Pimentoward/Core/Types.h"

#include <string>
#include <utility>
#include <vector>

namespace pimentoward {

/// An HTTP request to send with HttpConnection or HttpClient.
struct HttpCall
{
    /// GET, POST, PUT or DELETE. Any other method is sent as GET.
    std::string method = "GET";
    /// Path with the query string.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The call fails if no complete answer has been received after this time.
    Duration timeout = std::chrono::seconds(5);
};

} // namespace pimentoward
