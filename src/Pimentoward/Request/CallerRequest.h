#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Request/RequestClass.h"

#include <chrono>
#include <optional>
#include <string>

namespace pimentoward {

/// A caller's query, parsed from the JSON body of POST /query.
struct CallerRequest
{
    /// Maximum deadline that a caller may request.
    static constexpr std::chrono::milliseconds maxDeadline {600'000};

    ServiceName service;
    /// Record key of a lookup; empty for a search over all shards.
    std::string key;
    /// Field that a search compares with `value`; empty for a lookup.
    std::string field;
    std::string value;
    RequestClass requestClass = RequestClass::Interactive;
    /// Time allowed for the answer. Without a value the default of the service applies.
    std::optional<std::chrono::milliseconds> deadline;

    /// True for a lookup by record key, false for a search over all shards.
    bool isLookup() const { return !key.empty(); }

    /// Parses the JSON text. Fails with MalformedRequest, MissingField or InvalidDeadline.
    static std::optional<CallerRequest> parse(const std::string &json, Reason &reason);
    /// Returns the JSON text that is sent to every backend server.
    std::string backendBody() const;
};

} // namespace pimentoward
