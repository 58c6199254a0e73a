#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/ClaimMessages.h"

#include <map>
#include <optional>
#include <string>

namespace pimentoward {

/// Stored state of one claimed idempotency key.
struct ClaimEntry
{
    ClaimToken token;
    std::uint64_t contentHash = 0;
    WallTime expiry {};
    /// True once the outcome is recorded.
    bool isSettled = false;
    ResultCode code = ResultCode::Ok;
    std::string body;
};

/// Stored value of one claim bucket: the keys that are claimed in it.
struct ClaimRecord
{
    /// Entries, keyed by claimName().
    std::map<std::string, ClaimEntry> entries;

    /// Decodes a stored value. An empty value gives an empty record. Fails with InvalidMessage.
    static std::optional<ClaimRecord> decode(const std::string &bytes, Reason &reason);
    /// Returns the CBOR bytes that decode() reads.
    std::string encode() const;
    /// Drops entries whose expiry is before `limit`.
    void dropExpired(WallTime limit);
    /// Returns an upper bound of the encoded size, in bytes.
    std::size_t sizeBound() const;

    /// Returns the name of an entry. It contains the service, because keys are unique only within
    /// one service.
    static std::string claimName(const ServiceName &service, const std::string &key);
};

} // namespace pimentoward
