#pragma once

#include <string>
#include <string_view>

namespace pimentoward {

/// Number of bytes of the UTF-8 character that begins at `at`; 0 if the bytes there are not one
/// valid character. `at` must be less than the size of the text.
std::size_t utf8Length(std::string_view text, std::size_t at);

/// True if the text is not empty and has only visible ASCII characters, so that it can be written
/// into a request line or a header field. A space is not visible.
bool isPlainText(std::string_view text);
/// True if the text is valid UTF-8 without ASCII control characters.
bool isCleanText(std::string_view text);
/// The text for one field of a log line: control characters, spaces, quotes and bytes that are no
/// UTF-8 are written as %XX, and a long text is cut.
std::string logText(std::string_view text);
/// The text with control characters and bytes that are no UTF-8 written as %XX.
std::string cleanText(std::string_view text);

} // namespace pimentoward
