#pragma once

#include "Pimentoward/Version/BackendRecord.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace pimentoward {

/// The backend servers that may get new work at one moment. Immutable.
struct BackendList
{
    /// Records by service, without backend servers that are leaving or out of service.
    std::unordered_map<ServiceName, std::vector<BackendRecord>> byService;
    /// Number of records of all services.
    std::size_t size = 0;
};

using BackendListPtr = std::shared_ptr<const BackendList>;

/// Decides which backend servers are in service, based on their records in the store. Performs no
/// I/O.
///
/// Load pattern: backend servers cannot renew their records while the store is unavailable. All
/// records may then be removed at once, although the servers still work. A record that is removed
/// during or soon after an outage is therefore kept for as long as its backend server may need to
/// write it again.
class BackendDirectory
{
public:
    struct Settings
    {
        /// How long after an outage of the store a removed record is still used.
        Duration outageGrace = std::chrono::milliseconds(2500);
    };

    BackendDirectory();
    explicit BackendDirectory(const Settings &settings);

    /// Notes that the store did not answer, or refused this VM, until `now`.
    void onOutage(SteadyTime now);
    /// Applies a record that was written. `record` is empty if it is unreadable; the backend server
    /// is then not listed.
    void onWritten(const BackendServerId &id, std::optional<BackendRecord> record);
    /// Applies the removal of a record.
    void onRemoved(const BackendServerId &id, SteadyTime now);
    /// Applies a complete list of the records in the store. Records that are not in it were
    /// removed.
    void onListed(const std::set<BackendServerId> &ids, SteadyTime now);
    /// Takes a failure domain out of service, or puts it back into service.
    void setDomainOutOfService(const FailureDomain &domain, bool isOutOfService);

    /// Drops the removed records whose grace period is over. Returns true if that changed the list.
    bool expire(SteadyTime now);
    /// Time at which expire() will drop the next record; nothing if no record is to be dropped.
    std::optional<SteadyTime> nextExpiry() const;
    /// The current list. It is rebuilt only after a change.
    BackendListPtr list();

private:
    struct Entry
    {
        BackendRecord record;
        /// When the record is dropped; set while it is missing from the store after an outage.
        std::optional<SteadyTime> expiresAt;
    };

    Settings m_settings;
    std::unordered_map<BackendServerId, Entry> m_entries;
    std::set<FailureDomain> m_domainsOutOfService;
    std::optional<SteadyTime> m_outageEnd;
    BackendListPtr m_list;
};

} // namespace pimentoward
