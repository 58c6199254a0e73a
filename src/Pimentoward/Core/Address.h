#pragma once

#include "Pimentoward/Core/Reason.h"

#include <cstdint>
#include <optional>
#include <string>

namespace pimentoward {

/// A TCP endpoint by IP number.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    /// Parses "127.0.0.1:8080". A host name or a port outside 1..65535 is refused with
    /// ResultCode::InvalidSetting in `reason`.
    static std::optional<Address> parse(const std::string &text, Reason &reason);
    /// The form that parse() reads.
    std::string toString() const;

    friend bool operator==(const Address &a, const Address &b)
    {
        return a.host == b.host && a.port == b.port;
    }
    friend bool operator!=(const Address &a, const Address &b) { return !(a == b); }
};

} // namespace pimentoward
