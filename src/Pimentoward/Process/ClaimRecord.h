#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/ClaimMessages.h"

#include <map>
#include <optional>
#include <string>

namespace pimentoward {

/// One claimed idempotency key.
struct ClaimEntry
{
    ClaimToken token;
    std::uint64_t contentHash = 0;
    WallTime expiry {};
    /// True once an outcome is recorded.
    bool isSettled = false;
    ResultCode code = ResultCode::Ok;
    std::string body;
};

/// The stored value of one claim bucket: its claimed keys.
struct ClaimRecord
{
    /// Entries by claimName().
    std::map<std::string, ClaimEntry> entries;

    /// Decodes a stored value; an empty one is an empty record. Fails with InvalidMessage.
    static std::optional<ClaimRecord> decode(const std::string &bytes, Reason &reason);
    /// The CBOR bytes that decode() reads.
    std::string encode() const;
    /// Drops entries whose expiry is before `limit`.
    void dropExpired(WallTime limit);
    /// Upper bound of the encoded size, in bytes.
    std::size_t sizeBound() const;

    /// Name of an entry: a key belongs to its service.
    static std::string claimName(const ServiceName &service, const std::string &key);
};

} // namespace pimentoward
