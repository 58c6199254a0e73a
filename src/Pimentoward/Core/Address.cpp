#include "Pimentoward/Core/Address.h"

#include <arpa/inet.h>

#include <charconv>

namespace pimentoward {

std::optional<Address> Address::parse(const std::string &text, Reason &reason)
{
    const auto refuse = [&](const std::string &why) -> std::optional<Address> {
        reason = {ResultCode::InvalidSetting, "'" + text + "' is not a valid address: " + why};
        return std::nullopt;
    };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return refuse("expected IP:PORT");
    }
    Address address {text.substr(0, colon), 0};
    // Host names are not accepted, because the tier must not depend on a name service.
    if (in_addr parsed {}; inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
        return refuse("expected an IPv4 address before the colon");
    }
    unsigned port = 0;
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    if (const auto [last, error] = std::from_chars(begin, end, port);
        error != std::errc() || last != end || port == 0 || port > UINT16_MAX) {
        return refuse("the port must be between 1 and 65535");
    }
    address.port = static_cast<std::uint16_t>(port);
    return address;
}

std::string Address::toString() const
{
    return host + ":" + std::to_string(port);
}

} // namespace pimentoward
