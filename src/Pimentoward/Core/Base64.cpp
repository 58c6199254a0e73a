#include "Pimentoward/Core/Base64.h"

#include <string_view>

namespace pimentoward {

namespace {

constexpr char base64Letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned bitsPerLetter = 6;
constexpr unsigned bitsPerByte = 8;

int base64Value(char letter)
{
    const std::string_view letters(base64Letters);
    const std::size_t position = letters.find(letter);
    return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

} // namespace

std::string toBase64(const std::string &bytes)
{
    constexpr std::size_t groupLetters = 4;
    constexpr unsigned letterMask = 0x3F;
    std::string text;
    unsigned held = 0;
    unsigned bits = 0;
    for (const char byte : bytes) {
        held = (held << bitsPerByte) | static_cast<unsigned char>(byte);
        bits += bitsPerByte;
        while (bits >= bitsPerLetter) {
            bits -= bitsPerLetter;
            text += base64Letters[(held >> bits) & letterMask];
        }
    }
    if (bits > 0) {
        text += base64Letters[(held << (bitsPerLetter - bits)) & letterMask];
    }
    while (text.size() % groupLetters != 0) {
        text += '=';
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    constexpr unsigned byteMask = 0xFF;
    std::string bytes;
    unsigned held = 0;
    unsigned bits = 0;
    for (const char letter : text) {
        const int value = base64Value(letter);
        if (value < 0) {
            break;
        }
        held = (held << bitsPerLetter) | static_cast<unsigned>(value);
        bits += bitsPerLetter;
        if (bits >= bitsPerByte) {
            bits -= bitsPerByte;
            bytes += static_cast<char>((held >> bits) & byteMask);
        }
    }
    return bytes;
}

} // namespace pimentoward
