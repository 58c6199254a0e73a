#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Request/RequestClass.h"

#include <chrono>
#include <optional>
#include <string>

namespace pimentoward {

/// A caller's query, read from the JSON body of POST /query.
struct CallerRequest
{
    static constexpr std::chrono::milliseconds maxDeadline {600'000};

    ServiceName service;
    /// Record key of a lookup; empty for a search over all shards.
    std::string key;
    /// Field and value of a search.
    std::string field;
    std::string value;
    RequestClass requestClass = RequestClass::Interactive;
    /// Given by the caller; the service's default holds otherwise.
    std::optional<std::chrono::milliseconds> deadline;

    bool isLookup() const { return !key.empty(); }

    /// Fails with MalformedRequest, MissingField or InvalidDeadline.
    static std::optional<CallerRequest> parse(const std::string &json, Reason &reason);
    /// The JSON text that every backend server gets.
    std::string backendBody() const;
};

} // namespace pimentoward
