#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Request/RequestClass.h"

#include <chrono>
#include <optional>
#include <string>

namespace pimentoward {

/// A caller's request that may run at most once, parsed from the JSON body of POST /order.
struct OrderRequest
{
    /// Maximum time for which an idempotency key may be kept. It bounds the number of stored
    /// claims.
    static constexpr std::chrono::hours maxTimeToExpiry {24};
    /// Maximum size of the service name, the record key and the idempotency key.
    static constexpr std::size_t maxKeyBytes = 128;

    ServiceName service;
    /// Record key that selects the shard.
    std::string key;
    /// The caller's idempotency key, unique within the service.
    std::string idempotencyKey;
    /// Time from which the idempotency key is refused.
    WallTime expiry {};
    /// JSON text of the order itself, which the tier does not interpret.
    std::string content;
    RequestClass requestClass = RequestClass::Interactive;
    /// Time allowed for the answer. Without a value the default of the service applies.
    std::optional<std::chrono::milliseconds> deadline;

    /// Parses the JSON text. Fails with MalformedRequest, MissingField, InvalidDeadline or
    /// KeyExpired.
    static std::optional<OrderRequest> parse(const std::string &json, WallTime now, Reason &reason);
    /// Returns a hash of the record key and the content. Both must be the same when an idempotency
    /// key is used again.
    std::uint64_t contentHash() const;
    /// Returns the JSON text that is sent to the backend server.
    std::string backendBody() const;
};

} // namespace pimentoward
