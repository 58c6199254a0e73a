#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// One entry of the schedule that the planning office writes.
struct ScheduleEntry
{
    /// What an entry controls.
    enum class Kind {
        /// Queries may use the index version within the window.
        VersionRelease,
        /// The backend server may accept new work only within the window.
        BackendServerInService,
        /// No backend server of the failure domain may accept new work within the window.
        FailureDomainOut,
    };

    /// Identifies the entry. An entry with the same ID and a higher `change` replaces this one.
    std::string id;
    std::uint64_t change = 0;
    Kind kind = Kind::VersionRelease;
    /// Version number, backend server or failure domain, depending on `kind`. It need not be known
    /// to the tier yet.
    std::string target;
    /// The time window [from, until). Without `until`, the window has no end.
    WallTime from {};
    std::optional<WallTime> until;
    /// A withdrawn entry has no effect.
    bool withdrawn = false;

    /// True if `time` is within the window.
    bool contains(WallTime time) const { return time >= from && (!until || time < *until); }
    bool operator==(const ScheduleEntry &other) const;
};

/// The schedule of the planning office for one service. Immutable. Its results depend only on the
/// set of entries and on the time. Entries may therefore arrive in any order, repeatedly, after
/// their window, or all at once.
class IndexSchedule
{
public:
    /// Keeps the latest change of each entry. Fails with InvalidMessage if two entries with the
    /// same ID and change differ, an ID or target is empty, a version target is not a number, or a
    /// window is empty.
    static std::optional<IndexSchedule> build(const std::vector<ScheduleEntry> &entries,
                                              Reason &reason);

    /// Whether the version is released at `time`; nothing if no entry names the version. A version
    /// whose entries are all withdrawn is not released.
    std::optional<bool> isReleased(IndexVersion version, WallTime time) const;
    /// Whether the schedule allows a backend server to accept new work at `time`.
    bool canAcceptNewWork(const BackendServerId &backendServer, const FailureDomain &failureDomain,
                          WallTime time) const;
    /// The latest change of each entry, ordered by kind and target.
    std::vector<ScheduleEntry> entries() const;

private:
    using Kind = ScheduleEntry::Kind;

    std::optional<bool> isWithinAny(Kind kind, const std::string &target, WallTime time) const;

    std::map<std::pair<Kind, std::string>, std::vector<ScheduleEntry>> m_byTarget;
};

} // namespace pimentoward
