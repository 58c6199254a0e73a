#pragma once

#include "Pimentoward/Core/Reason.h"

#include <cstdint>
#include <optional>
#include <string>

namespace pimentoward {

/// A TCP endpoint: an IPv4 address and a port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    /// Parses text such as "127.0.0.1:8080". For a host name or a port outside 1..65535 returns
    /// nothing and sets `reason` to ResultCode::InvalidSetting.
    static std::optional<Address> parse(const std::string &text, Reason &reason);
    /// Returns the address in the form that parse() reads.
    std::string toString() const;

    friend bool operator==(const Address &a, const Address &b)
    {
        return a.host == b.host && a.port == b.port;
    }
    friend bool operator!=(const Address &a, const Address &b) { return !(a == b); }
};

} // namespace pimentoward
