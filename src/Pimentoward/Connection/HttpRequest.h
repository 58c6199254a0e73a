#pragma once

#include <map>
#include <string>

namespace pimentoward {

/// One HTTP request as a handler sees it.
struct HttpRequest
{
    std::string method;
    /// Path without the query part.
    std::string path;
    /// Parameters of the query part.
    std::map<std::string, std::string> parameters;
    /// Headers by lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of a query parameter, empty where it is not given.
    std::string parameter(const std::string &name) const;
    /// Value of a header by its lower-case name, empty where it is not given.
    std::string header(const std::string &lowerCaseName) const;
};

} // namespace pimentoward
