#pragma once

#include <string>

namespace pimentoward {

/// Standard base64 with padding.
std::string toBase64(const std::string &bytes);
/// The bytes up to the first letter that is none of base64's.
std::string fromBase64(const std::string &text);

} // namespace pimentoward
