#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pimentoward {

/// One header field as it stands on the wire.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// The header fields of one message, in their order.
class HttpHeaders
{
public:
    void add(std::string_view name, std::string_view value);
    /// Value of the first field of that name, whatever its case; empty where there is none.
    std::string_view value(std::string_view name) const;
    bool has(std::string_view name) const { return find(name) != nullptr; }
    /// True where a field of that name lists `token`, as "Connection: close, x" does.
    bool hasToken(std::string_view name, std::string_view token) const;
    /// Removes the fields that concern one connection only: the standard ones, and those that
    /// "Connection" names.
    void removeHopByHop();
    void remove(std::string_view name);
    const std::vector<HttpHeader> &fields() const { return m_fields; }

private:
    const HttpHeader *find(std::string_view name) const;

    std::vector<HttpHeader> m_fields;
};

/// Compares two names without regard to the case of ASCII letters.
bool equalIgnoringCase(std::string_view a, std::string_view b);

} // namespace pimentoward
