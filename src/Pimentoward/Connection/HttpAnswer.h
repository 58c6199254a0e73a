#pragma once

#include <map>
#include <string>

namespace pimentoward {

/// One HTTP answer, as a server sends it or a client receives it.
struct HttpAnswer
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    /// Further headers; by lower-case name where the answer was received.
    std::map<std::string, std::string> headers;

    /// Value of a received header by its lower-case name, empty where there is none.
    std::string header(const std::string &lowerCaseName) const
    {
        const auto found = headers.find(lowerCaseName);
        return found == headers.end() ? std::string() : found->second;
    }
};

} // namespace pimentoward
