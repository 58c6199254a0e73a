#pragma once

#include <map>
#include <string>

namespace pimentoward {

/// An HTTP response, as HttpServer sends it or HttpConnection receives it.
struct HttpAnswer
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    /// Further headers. In a received answer the names are in lower case.
    std::map<std::string, std::string> headers;

    /// Value of a received header by its lower-case name, or an empty string if there is none.
    std::string header(const std::string &lowerCaseName) const
    {
        const auto found = headers.find(lowerCaseName);
        return found == headers.end() ? std::string() : found->second;
    }
};

} // namespace pimentoward
