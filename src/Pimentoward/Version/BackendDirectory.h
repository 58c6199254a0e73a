#pragma once

#include "Pimentoward/Version/BackendRecord.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace pimentoward {

/// The backend servers that may get new work at one moment. Never changes once built.
struct BackendList
{
    /// By service; backend servers that are leaving or out of service are not listed.
    std::unordered_map<ServiceName, std::vector<BackendRecord>> byService;
    std::size_t size = 0;
};

using BackendListPtr = std::shared_ptr<const BackendList>;

/// Decides which backend servers are in service, from what the store tells of them. Does no input
/// or output.
///
/// Load pattern: while the store is away, backend servers cannot renew their records; all of them
/// may vanish at once though they serve well. So a record that vanishes around an outage is kept
/// for as long as its owner may need to write it again.
class BackendDirectory
{
public:
    struct Settings
    {
        /// How long after an outage of the store a vanished record still counts.
        Duration outageGrace = std::chrono::milliseconds(2500);
    };

    BackendDirectory();
    explicit BackendDirectory(const Settings &settings);

    /// The store has been silent, or refused this VM, up to now.
    void onOutage(SteadyTime now);
    /// A record was written; nothing where it cannot be understood, which names no backend server.
    void onWritten(const BackendServerId &id, std::optional<BackendRecord> record);
    /// A record has vanished.
    void onRemoved(const BackendServerId &id, SteadyTime now);
    /// All records that stand in the store; what is not among them has vanished.
    void onListed(const std::set<BackendServerId> &ids, SteadyTime now);
    /// A failure domain is taken out of service, or back in.
    void onDomainOut(const FailureDomain &domain, bool isOut);

    /// Drops what has been missing for long enough; true where that changed the list.
    bool expire(SteadyTime now);
    /// When expire() next drops something.
    std::optional<SteadyTime> nextExpiry() const;
    /// The list at present; built anew only after a change.
    BackendListPtr list();

private:
    struct Entry
    {
        BackendRecord record;
        /// Set while the record is missing after an outage.
        std::optional<SteadyTime> expiresAt;
    };

    Settings m_settings;
    std::unordered_map<BackendServerId, Entry> m_entries;
    std::set<FailureDomain> m_domainsOut;
    std::optional<SteadyTime> m_outageEnd;
    BackendListPtr m_list;
};

} // namespace pimentoward
