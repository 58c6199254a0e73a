#pragma once

#include <map>
#include <string>

namespace pimentoward {

/// An HTTP request as HttpServer passes it to a handler.
struct HttpRequest
{
    std::string method;
    /// Path without the query string.
    std::string path;
    /// Parameters of the query string.
    std::map<std::string, std::string> parameters;
    /// Headers by lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of a query parameter, or an empty string if it is not given.
    std::string parameter(const std::string &name) const;
    /// Value of a header by its lower-case name, or an empty string if it is not given.
    std::string header(const std::string &lowerCaseName) const;
};

} // namespace pimentoward
