#include "Pimentoward/Version/WorkspaceTable.h"

#include <xxhash.h>

#include <random>

namespace pimentoward {

namespace {

std::uint64_t hashOf(std::string_view key)
{
    static const std::uint64_t seed = [] {
        std::random_device device;
        constexpr unsigned wordBits = 32;
        return (static_cast<std::uint64_t>(device()) << wordBits) | device();
    }();
    return XXH64(key.data(), key.size(), seed);
}

/// Compares all bytes, whether or not earlier ones differ.
bool isEqualInConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < a.size(); ++index) {
        difference |= static_cast<unsigned char>(a[index]) ^ static_cast<unsigned char>(b[index]);
    }
    return difference == 0;
}

} // namespace

WorkspaceTable::WorkspaceTable(std::vector<Entry> entries)
    : m_requiresKeys(true)
{
    for (Entry &entry : entries) {
        const std::size_t index = m_workspaces.size();
        m_byName.emplace(entry.workspace.name, index);
        m_workspaces.push_back(std::move(entry.workspace));
        for (std::string &key : entry.keys) {
            const std::uint64_t hash = hashOf(key);
            if (find(key) == nullptr) {
                m_keys.emplace(hash, Key {std::move(key), index});
            }
        }
    }
}

const Workspace *WorkspaceTable::find(std::string_view key) const
{
    const auto [first, last] = m_keys.equal_range(hashOf(key));
    for (auto entry = first; entry != last; ++entry) {
        if (isEqualInConstantTime(entry->second.text, key)) {
            return &m_workspaces[entry->second.workspace];
        }
    }
    return nullptr;
}

const Workspace *WorkspaceTable::named(std::string_view name) const
{
    const auto found = m_byName.find(std::string(name));
    return found == m_byName.end() ? nullptr : &m_workspaces[found->second];
}

} // namespace pimentoward
