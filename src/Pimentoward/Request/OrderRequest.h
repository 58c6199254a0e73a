#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Request/RequestClass.h"

#include <chrono>
#include <optional>
#include <string>

namespace pimentoward {

/// A caller's request that may not be repeated, read from the JSON body of POST /order.
struct OrderRequest
{
    /// A key may be kept for this long at most, which bounds the stored claims.
    static constexpr std::chrono::hours maxTimeToExpiry {24};
    static constexpr std::size_t maxKeyBytes = 128; // bytes

    ServiceName service;
    /// Record key that decides the shard.
    std::string key;
    /// The caller's idempotency key, unique within the service.
    std::string idempotencyKey;
    /// The idempotency key is refused from this time on.
    WallTime expiry {};
    /// JSON text of what is ordered.
    std::string content;
    RequestClass requestClass = RequestClass::Interactive;
    /// Given by the caller; the service's default holds otherwise.
    std::optional<std::chrono::milliseconds> deadline;

    /// Fails with MalformedRequest, MissingField, InvalidDeadline or KeyExpired.
    static std::optional<OrderRequest> parse(const std::string &json, WallTime now, Reason &reason);
    /// Hash of all that must be equal when the idempotency key is used again.
    std::uint64_t contentHash() const;
    /// The JSON text that the backend server gets.
    std::string backendBody() const;
};

} // namespace pimentoward
