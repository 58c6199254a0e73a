#pragma once

#include <string>

namespace pimentoward {

/// The text as it may stand in the query part of a target.
std::string uriEscape(const std::string &text);

} // namespace pimentoward
