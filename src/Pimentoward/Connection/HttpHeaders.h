#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pimentoward {

/// One header field as sent on the wire.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// The header fields of one message in their original order. Names are compared without regard to
/// case.
class HttpHeaders
{
public:
    void add(std::string_view name, std::string_view value);
    /// Value of the first field with that name, or an empty string if there is none.
    std::string_view value(std::string_view name) const;
    bool has(std::string_view name) const { return find(name) != nullptr; }
    /// True if the comma-separated list of a field with that name has `token`, as in
    /// "Connection: close, x". Case does not matter.
    bool hasToken(std::string_view name, std::string_view token) const;
    /// Removes the hop-by-hop fields, which concern one connection only: the standard ones and
    /// those named in "Connection".
    void removeHopByHop();
    /// Removes all fields with that name.
    void remove(std::string_view name);
    const std::vector<HttpHeader> &fields() const { return m_fields; }

private:
    const HttpHeader *find(std::string_view name) const;

    std::vector<HttpHeader> m_fields;
};

/// True if the two texts are equal apart from the case of ASCII letters.
bool equalIgnoringCase(std::string_view a, std::string_view b);

} // namespace pimentoward
