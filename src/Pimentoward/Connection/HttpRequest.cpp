#include "Pimentoward/Connection/HttpRequest.h"

namespace pimentoward {

namespace {

std::string valueOrEmpty(const std::map<std::string, std::string> &values, const std::string &name)
{
    const auto found = values.find(name);
    return found == values.end() ? std::string() : found->second;
}

} // namespace

std::string HttpRequest::parameter(const std::string &name) const
{
    return valueOrEmpty(parameters, name);
}

std::string HttpRequest::header(const std::string &lowerCaseName) const
{
    return valueOrEmpty(headers, lowerCaseName);
}

} // namespace pimentoward
