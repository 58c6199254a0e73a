#include "Pimentoward/Request/RequestClass.h"

namespace pimentoward {

const char *requestClassName(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Interactive:
        return "interactive";
    case RequestClass::Evening:
        return "evening";
    case RequestClass::Batch:
        break;
    }
    return "batch";
}

std::optional<RequestClass> requestClassFromName(const std::string &name)
{
    for (const auto candidate :
         {RequestClass::Interactive, RequestClass::Evening, RequestClass::Batch}) {
        if (name == requestClassName(candidate)) {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace pimentoward
