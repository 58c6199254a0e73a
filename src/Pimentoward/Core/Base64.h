#pragma once

#include <string>

namespace pimentoward {

/// Encodes bytes as standard base64 with padding.
std::string toBase64(const std::string &bytes);
/// Decodes base64 up to the first character that is not in its alphabet, such as the padding.
std::string fromBase64(const std::string &text);

} // namespace pimentoward
