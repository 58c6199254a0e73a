#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// One entry of the planning office's schedule.
struct ScheduleEntry
{
    /// What an entry sets.
    enum class Kind {
        /// Queries may use the index version within the window.
        VersionRelease,
        /// The backend server may take new work within the window only.
        BackendServerInService,
        /// No backend server of the failure domain takes new work within the window.
        FailureDomainOut,
    };

    /// Unique; a later entry of the same id and a higher `change` replaces this one.
    std::string id;
    std::uint64_t change = 0;
    Kind kind = Kind::VersionRelease;
    /// Version number, backend server or failure domain. It may be unknown still.
    std::string target;
    /// The window [from, until); without `until` it has no end.
    WallTime from {};
    std::optional<WallTime> until;
    /// A withdrawn entry sets nothing.
    bool withdrawn = false;

    bool contains(WallTime time) const { return time >= from && (!until || time < *until); }
    bool operator==(const ScheduleEntry &other) const;
};

/// The planning office's schedule for one service. Immutable. What it says depends only on the
/// set of its entries and the time, so entries may come in any order, repeated, in the past, and
/// all at once.
class IndexSchedule
{
public:
    /// Keeps the latest change of each entry. Fails with InvalidMessage where two entries of one
    /// id and change differ, an id or target is empty, a version target is no number, or a window
    /// is empty.
    static std::optional<IndexSchedule> build(const std::vector<ScheduleEntry> &entries,
                                              Reason &reason);

    /// Whether the version is released at `time`; nothing where no entry names it. Where all of
    /// its entries are withdrawn, it is not released.
    std::optional<bool> isReleased(IndexVersion version, WallTime time) const;
    /// Whether the schedule lets a backend server take new work at `time`.
    bool mayTakeNewWork(const BackendServerId &backendServer, const FailureDomain &failureDomain,
                        WallTime time) const;
    /// The latest change of each entry, in the order of kinds and targets.
    std::vector<ScheduleEntry> entries() const;

private:
    using Kind = ScheduleEntry::Kind;

    std::optional<bool> isWithinAny(Kind kind, const std::string &target, WallTime time) const;

    std::map<std::pair<Kind, std::string>, std::vector<ScheduleEntry>> m_byTarget;
};

} // namespace pimentoward
