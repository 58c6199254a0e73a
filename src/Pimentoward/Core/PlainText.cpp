#include "Pimentoward/Core/PlainText.h"

#include <algorithm>
#include <array>

namespace pimentoward {

namespace {

constexpr std::size_t maxLogTextBytes = 256;

/// A range of first bytes of UTF-8 characters, with the length of the character and the range of
/// its second byte. The ranges exclude overlong forms, surrogates and values above U+10FFFF.
struct Utf8Form
{
    unsigned char firstLow;
    unsigned char firstHigh;
    std::size_t length;
    unsigned char secondLow;
    unsigned char secondHigh;
};

constexpr std::array<Utf8Form, 8> utf8Forms {{{0xC2, 0xDF, 2, 0x80, 0xBF},
                                              {0xE0, 0xE0, 3, 0xA0, 0xBF},
                                              {0xE1, 0xEC, 3, 0x80, 0xBF},
                                              {0xED, 0xED, 3, 0x80, 0x9F},
                                              {0xEE, 0xEF, 3, 0x80, 0xBF},
                                              {0xF0, 0xF0, 4, 0x90, 0xBF},
                                              {0xF1, 0xF3, 4, 0x80, 0xBF},
                                              {0xF4, 0xF4, 4, 0x80, 0x8F}}};

bool isBetween(char character, unsigned char low, unsigned char high)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte >= low && byte <= high;
}

bool isControl(char character)
{
    return isBetween(character, 0, 0x1F) || character == 0x7F;
}

void appendEscaped(std::string &text, char character)
{
    constexpr char digits[] = "0123456789ABCDEF";
    constexpr unsigned digitBits = 4;
    constexpr unsigned digitMask = 0xF;
    const auto byte = static_cast<unsigned char>(character);
    text += '%';
    text += digits[byte >> digitBits];
    text += digits[byte & digitMask];
}

/// Copies the text; `isKept` decides on each valid character that is not a control character.
template <typename IsKept>
std::string escapedUnless(std::string_view text, IsKept isKept)
{
    std::string result;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = utf8Length(text, at);
        if (length == 0 || isControl(text[at]) || !isKept(text[at])) {
            appendEscaped(result, text[at]);
            ++at;
            continue;
        }
        result += text.substr(at, length);
        at += length;
    }
    return result;
}

} // namespace

std::size_t utf8Length(std::string_view text, std::size_t at)
{
    constexpr unsigned char maxAscii = 0x7F;
    if (isBetween(text[at], 0, maxAscii)) {
        return 1;
    }
    const auto form = std::find_if(utf8Forms.begin(), utf8Forms.end(), [&](const Utf8Form &entry) {
        return isBetween(text[at], entry.firstLow, entry.firstHigh);
    });
    if (form == utf8Forms.end() || text.size() - at < form->length
        || !isBetween(text[at + 1], form->secondLow, form->secondHigh)) {
        return 0;
    }
    const std::string_view rest = text.substr(at + 2, form->length - 2);
    const bool isContinued = std::all_of(
        rest.begin(), rest.end(), [](char character) { return isBetween(character, 0x80, 0xBF); });
    return isContinued ? form->length : 0;
}

bool isPlainText(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character > ' ' && character <= '~';
    });
}

bool isCleanText(std::string_view text)
{
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = utf8Length(text, at);
        if (length == 0 || isControl(text[at])) {
            return false;
        }
        at += length;
    }
    return true;
}

std::string logText(std::string_view text)
{
    const bool isLong = text.size() > maxLogTextBytes;
    std::string result = escapedUnless(text.substr(0, maxLogTextBytes), [](char character) {
        return character != ' ' && character != '"';
    });
    return isLong ? result + "..." : result;
}

std::string cleanText(std::string_view text)
{
    return escapedUnless(text, [](char) { return true; });
}

} // namespace pimentoward
