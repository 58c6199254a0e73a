#pragma once

#include <string>
#include <string_view>

namespace pimentoward {

/// Replaces the parts of a JSON text for which a parser refuses the whole text although only one
/// value is odd. Half of a UTF-16 surrogate pair, invalid UTF-8 and invalid escapes in strings
/// become the control character U+001A (SUBSTITUTE), so that the string is no valid name. Numbers
/// that a double cannot hold, and values nested deeper than `maxDepth`, become null. The result may
/// still be malformed.
std::string repairJson(std::string_view text, unsigned maxDepth);

} // namespace pimentoward
