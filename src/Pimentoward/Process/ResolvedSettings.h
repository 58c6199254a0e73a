#pragma once

#include "Pimentoward/Core/Address.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace pimentoward {

/// The checked settings of a process. Reading a name that is not in the table is a programming
/// error.
class ResolvedSettings
{
public:
    /// Where a value comes from.
    enum class Origin { Default, Environment, Flag };

    struct Entry
    {
        std::string text;
        Origin origin = Origin::Default;
    };

    explicit ResolvedSettings(std::map<std::string, Entry> entries);

    /// Returns the value as it was given.
    const std::string &text(const std::string &name) const;
    std::int64_t integer(const std::string &name) const;
    double real(const std::string &name) const;
    bool flag(const std::string &name) const;
    std::chrono::milliseconds milliseconds(const std::string &name) const;
    Address address(const std::string &name) const;
    /// Returns one line per setting with its name, value and origin; the output of
    /// --print-settings.
    std::string describe() const;

private:
    const Entry &entry(const std::string &name) const;

    std::map<std::string, Entry> m_entries;
};

} // namespace pimentoward
