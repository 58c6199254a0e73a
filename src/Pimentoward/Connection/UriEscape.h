#pragma once

#include <string>

namespace pimentoward {

/// Percent-encodes a text for use in a query string.
std::string uriEscape(const std::string &text);

} // namespace pimentoward
