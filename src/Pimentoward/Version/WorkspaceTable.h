#pragma once

#include "Pimentoward/Version/Workspace.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pimentoward {

/// The workspaces of one revision of the operators' settings, and the API keys that identify them.
/// Immutable.
class WorkspaceTable
{
public:
    /// A workspace with the API keys that its callers may send.
    struct Entry
    {
        Workspace workspace;
        std::vector<std::string> keys;
    };

    /// For settings without workspaces: requests need no key.
    WorkspaceTable() = default;
    /// If two entries hold the same key, it identifies the first of them.
    explicit WorkspaceTable(std::vector<Entry> entries);

    /// False if the settings have no workspaces.
    bool requiresKeys() const { return m_requiresKeys; }
    /// The workspace that holds `key`; null if there is none. The time taken does not depend on
    /// how many bytes of a wrong key are right.
    const Workspace *find(std::string_view key) const;
    /// The workspace with that name; null if there is none.
    const Workspace *named(std::string_view name) const;
    const std::vector<Workspace> &workspaces() const { return m_workspaces; }

private:
    struct Key
    {
        std::string text;
        std::size_t workspace = 0;
    };

    bool m_requiresKeys = false;
    std::vector<Workspace> m_workspaces;
    /// Keys by a hash of their text. Callers cannot compute the hash, since its seed is secret.
    std::unordered_multimap<std::uint64_t, Key> m_keys;
    std::unordered_map<std::string, std::size_t> m_byName;
};

} // namespace pimentoward
