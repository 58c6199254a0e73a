#include "Pimentoward/Core/Base64.h"

#include <string_view>

namespace pimentoward {

namespace {

constexpr char base64Alphabet[]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned bitsPerSymbol = 6;
constexpr unsigned bitsPerByte = 8;

int symbolValue(char symbol)
{
    const std::string_view alphabet(base64Alphabet);
    const std::size_t position = alphabet.find(symbol);
    return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

} // namespace

std::string toBase64(const std::string &bytes)
{
    constexpr std::size_t groupSymbols = 4;
    constexpr unsigned symbolMask = 0x3F;
    std::string text;
    unsigned accumulator = 0;
    unsigned bits = 0;
    for (const char byte : bytes) {
        accumulator = (accumulator << bitsPerByte) | static_cast<unsigned char>(byte);
        bits += bitsPerByte;
        while (bits >= bitsPerSymbol) {
            bits -= bitsPerSymbol;
            text += base64Alphabet[(accumulator >> bits) & symbolMask];
        }
    }
    if (bits > 0) {
        text += base64Alphabet[(accumulator << (bitsPerSymbol - bits)) & symbolMask];
    }
    while (text.size() % groupSymbols != 0) {
        text += '=';
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    constexpr unsigned byteMask = 0xFF;
    std::string bytes;
    unsigned accumulator = 0;
    unsigned bits = 0;
    for (const char symbol : text) {
        const int value = symbolValue(symbol);
        if (value < 0) {
            break;
        }
        accumulator = (accumulator << bitsPerSymbol) | static_cast<unsigned>(value);
        bits += bitsPerSymbol;
        if (bits >= bitsPerByte) {
            bits -= bitsPerByte;
            bytes += static_cast<char>((accumulator >> bits) & byteMask);
        }
    }
    return bytes;
}

} // namespace pimentoward
