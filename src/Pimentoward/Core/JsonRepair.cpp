#include "Pimentoward/Core/JsonRepair.h"

#include "Pimentoward/Core/PlainText.h"

#include <cmath>
#include <cstdlib>
#include <optional>

namespace pimentoward {

namespace {

/// What stands in a repaired string for each part that is not valid.
constexpr const char *substitute = "\\u001a";
constexpr const char *nullText = "null";
/// Characters of an escape such as \u00e9, and the digits in it.
constexpr std::size_t unicodeEscapeLength = 6;
constexpr std::size_t unicodeDigits = 4;
constexpr std::size_t shortEscapeLength = 2;

bool isHighSurrogate(unsigned code)
{
    return code >= 0xD800 && code <= 0xDBFF;
}

bool isLowSurrogate(unsigned code)
{
    return code >= 0xDC00 && code <= 0xDFFF;
}

/// Copies a JSON text part by part and replaces what is odd.
class JsonRepair
{
public:
    JsonRepair(std::string_view text, unsigned maxDepth)
        : m_text(text)
        , m_maxDepth(maxDepth)
    { }

    std::string run()
    {
        while (m_at < m_text.size()) {
            copyToken();
        }
        return std::move(m_result);
    }

private:
    void copyToken()
    {
        const char symbol = m_text[m_at];
        if (symbol == '"') {
            copyString();
        } else if (symbol == '-' || (symbol >= '0' && symbol <= '9')) {
            copyNumber();
        } else if ((symbol == '[' || symbol == '{') && m_depth == m_maxDepth) {
            skipNested();
            m_result += nullText;
        } else {
            m_depth += symbol == '[' || symbol == '{' ? 1 : 0;
            m_depth -= (symbol == ']' || symbol == '}') && m_depth > 0 ? 1 : 0;
            copy(1);
        }
    }

    void copy(std::size_t length)
    {
        m_result += m_text.substr(m_at, length);
        m_at += length;
    }

    void replace(std::size_t length)
    {
        m_result += substitute;
        m_at += length;
    }

    void copyString()
    {
        copy(1);
        while (m_at < m_text.size() && m_text[m_at] != '"') {
            copyCharacter();
        }
        copy(1);
    }

    void copyCharacter()
    {
        if (m_text[m_at] == '\\') {
            copyEscape();
            return;
        }
        const std::size_t length = utf8Length(m_text, m_at);
        const bool isControl = length == 1 && m_text[m_at] < ' ';
        if (length == 0 || isControl) {
            replace(1);
        } else {
            copy(length);
        }
    }

    void copyEscape()
    {
        constexpr std::string_view shortEscapes = "\"\\/bfnrt";
        const std::string_view escape = m_text.substr(m_at, shortEscapeLength);
        if (escape.size() == shortEscapeLength
            && shortEscapes.find(escape[1]) != std::string_view::npos) {
            copy(shortEscapeLength);
            return;
        }
        const std::optional<unsigned> code = codeAt(m_at);
        if (!code) {
            replace(escape.size());
        } else if (isHighSurrogate(*code)
                   && isLowSurrogate(codeAt(m_at + unicodeEscapeLength).value_or(0))) {
            copy(2 * unicodeEscapeLength);
        } else if (isHighSurrogate(*code) || isLowSurrogate(*code)) {
            replace(unicodeEscapeLength);
        } else {
            copy(unicodeEscapeLength);
        }
    }

    /// The code of an escape such as \u00e9 at this position; nothing if there is none.
    std::optional<unsigned> codeAt(std::size_t at) const
    {
        constexpr int hexadecimal = 16;
        if (at >= m_text.size()) {
            return std::nullopt;
        }
        const std::string escape(m_text.substr(at, unicodeEscapeLength));
        const std::size_t digits = escape.find_first_not_of("0123456789abcdefABCDEF", 2);
        if (escape.size() != unicodeEscapeLength || escape.compare(0, 2, "\\u") != 0
            || digits != std::string::npos) {
            return std::nullopt;
        }
        return static_cast<unsigned>(
            std::strtoul(escape.substr(2, unicodeDigits).c_str(), nullptr, hexadecimal));
    }

    void copyNumber()
    {
        const std::size_t end = m_text.find_first_not_of("+-.0123456789eE", m_at);
        const std::string number(m_text.substr(m_at, end - m_at));
        m_result += std::isfinite(std::strtod(number.c_str(), nullptr)) ? number : nullText;
        m_at += number.size();
    }

    /// Skips an array or object with all that it contains.
    void skipNested()
    {
        std::size_t depth = 0;
        do {
            const char symbol = m_text[m_at];
            if (symbol == '"') {
                skipString();
            } else {
                depth += symbol == '[' || symbol == '{' ? 1 : 0;
                depth -= symbol == ']' || symbol == '}' ? 1 : 0;
            }
            ++m_at;
        } while (depth > 0 && m_at < m_text.size());
    }

    /// Moves from the opening quote of a string to its closing quote.
    void skipString()
    {
        for (++m_at; m_at < m_text.size() && m_text[m_at] != '"'; ++m_at) {
            m_at += m_text[m_at] == '\\' ? 1 : 0;
        }
    }

    std::string_view m_text;
    unsigned m_maxDepth;
    std::size_t m_at = 0;
    unsigned m_depth = 0;
    std::string m_result;
};

} // namespace

std::string repairJson(std::string_view text, unsigned maxDepth)
{
    return JsonRepair(text, maxDepth).run();
}

} // namespace pimentoward
