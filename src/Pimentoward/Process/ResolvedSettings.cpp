#include "Pimentoward/Process/ResolvedSettings.h"

#include <cassert>

namespace pimentoward {

namespace {

const char *originName(ResolvedSettings::Origin origin)
{
    switch (origin) {
    case ResolvedSettings::Origin::Environment:
        return "environment";
    case ResolvedSettings::Origin::Flag:
        return "flag";
    case ResolvedSettings::Origin::Default:
        break;
    }
    return "default";
}

} // namespace

ResolvedSettings::ResolvedSettings(std::map<std::string, Entry> entries)
    : m_entries(std::move(entries))
{ }

const ResolvedSettings::Entry &ResolvedSettings::entry(const std::string &name) const
{
    const auto found = m_entries.find(name);
    assert(found != m_entries.end() && "setting is not in the table");
    return found->second;
}

const std::string &ResolvedSettings::text(const std::string &name) const
{
    return entry(name).text;
}

std::int64_t ResolvedSettings::integer(const std::string &name) const
{
    return std::stoll(text(name));
}

double ResolvedSettings::real(const std::string &name) const
{
    return std::stod(text(name));
}

bool ResolvedSettings::flag(const std::string &name) const
{
    return text(name) == "true";
}

std::chrono::milliseconds ResolvedSettings::milliseconds(const std::string &name) const
{
    return std::chrono::milliseconds(integer(name));
}

Address ResolvedSettings::address(const std::string &name) const
{
    Reason reason;
    const auto address = Address::parse(text(name), reason);
    assert(address && "address settings are checked when they are read");
    return *address;
}

std::string ResolvedSettings::describe() const
{
    std::string lines;
    for (const auto &[name, entry] : m_entries) {
        lines += name + " = " + entry.text + "  (" + originName(entry.origin) + ")\n";
    }
    return lines;
}

} // namespace pimentoward
