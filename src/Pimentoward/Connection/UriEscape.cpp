#include "Pimentoward/Connection/UriEscape.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>

namespace pimentoward {

std::string uriEscape(const std::string &text)
{
    constexpr int spaceAsPlus = 0;
    const std::unique_ptr<char, decltype(&std::free)> encoded(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), spaceAsPlus),
        &std::free);
    return encoded ? encoded.get() : "";
}

} // namespace pimentoward
