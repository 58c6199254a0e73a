#pragma once

#include "Pimentoward/Version/Workspace.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pimentoward {

/// The workspaces of one revision of the operators' settings, and the API keys that identify them.
/// Immutable. Without workspaces, requests need no key.
class WorkspaceTable
{
public:
    /// A workspace with the API keys that its callers may send.
    struct Entry
    {
        Workspace workspace;
        std::vector<std::string> keys;
    };

    WorkspaceTable() = default;
    explicit WorkspaceTable(std::vector<Entry> entries);

    /// True if the settings name no workspace.
    bool isEmpty() const { return m_workspaces.empty(); }
    /// The workspace that holds `key`; null if there is none. The time taken does not depend on
    /// how many bytes of a wrong key are right.
    const Workspace *find(std::string_view key) const;
    /// The workspace with that name; null if there is none.
    const Workspace *named(std::string_view name) const;
    const std::vector<Workspace> &workspaces() const { return m_workspaces; }

private:
    std::vector<Workspace> m_workspaces;
    /// Index in m_workspaces by digest of the key; the keys themselves are not kept.
    std::unordered_map<std::string, std::size_t> m_byKeyDigest;
};

} // namespace pimentoward
