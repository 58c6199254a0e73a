#include "Pimentoward/Connection/HttpHeaders.h"

#include <algorithm>
#include <array>

namespace pimentoward {

namespace {

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Splits a field value into its comma-separated tokens.
std::vector<std::string_view> tokensOf(std::string_view value)
{
    std::vector<std::string_view> tokens;
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        tokens.push_back(trimmed(value.substr(0, comma)));
        value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    }
    return tokens;
}

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char left, char right) { return lower(left) == lower(right); });
}

void HttpHeaders::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({std::string(name), std::string(value)});
}

const HttpHeader *HttpHeaders::find(std::string_view name) const
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const HttpHeader &field) {
        return equalIgnoringCase(field.name, name);
    });
    return found == m_fields.end() ? nullptr : &*found;
}

std::string_view HttpHeaders::value(std::string_view name) const
{
    const HttpHeader *field = find(name);
    return field == nullptr ? std::string_view() : std::string_view(field->value);
}

bool HttpHeaders::hasToken(std::string_view name, std::string_view token) const
{
    return std::any_of(m_fields.begin(), m_fields.end(), [&](const HttpHeader &field) {
        if (!equalIgnoringCase(field.name, name)) {
            return false;
        }
        const auto tokens = tokensOf(field.value);
        return std::any_of(tokens.begin(), tokens.end(),
                           [&](std::string_view entry) { return equalIgnoringCase(entry, token); });
    });
}

void HttpHeaders::remove(std::string_view name)
{
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(),
                                  [&](const HttpHeader &field) {
                                      return equalIgnoringCase(field.name, name);
                                  }),
                   m_fields.end());
}

void HttpHeaders::removeHopByHop()
{
    static constexpr std::array<std::string_view, 9> hopByHop
        = {"Connection",        "Keep-Alive",         "Proxy-Connection",    "TE",     "Trailer",
           "Transfer-Encoding", "Proxy-Authenticate", "Proxy-Authorization", "Upgrade"};
    std::vector<std::string> named;
    for (const HttpHeader &field : m_fields) {
        if (equalIgnoringCase(field.name, "Connection")) {
            for (const std::string_view token : tokensOf(field.value)) {
                named.emplace_back(token);
            }
        }
    }
    for (const std::string &name : named) {
        remove(name);
    }
    for (const std::string_view name : hopByHop) {
        remove(name);
    }
}

} // namespace pimentoward
