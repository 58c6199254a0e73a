#pragma once

#include "Pimentoward/Process/MembershipSettings.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimentoward {

/// Grants of this member. Each backend server is granted to one owner at a time, until the owner
/// hands it over or has not requested it for the hold time.
class GrantTable
{
public:
    /// Identifies one heartbeat that requests grants.
    struct GrantRequest
    {
        MemberId owner;
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
    };
    /// Returns the rank of a member for a backend server; 0 is the most preferred.
    using RankHook = std::function<std::size_t(const BackendServerId &, const MemberId &)>;

    /// After a restart the grants of earlier runs are unknown, so the table grants nothing until
    /// the hold time has passed since `startedAt`.
    GrantTable(const MembershipSettings &settings, SteadyTime startedAt, RankHook rank);

    /// Sets whether the table waits after its start. Waiting is not needed if no earlier run of
    /// this member can have granted anything.
    void setWaitsAfterRestart(bool waits) { m_waitsAfterRestart = waits; }
    /// Processes the backend servers that a heartbeat requests (sorted): renews grants, makes new
    /// ones, and withdraws grants that the owner no longer requests.
    void onGrantRequests(const GrantRequest &request, const std::vector<BackendServerId> &requested,
                         SteadyTime now);
    /// Shortens the grants of an earlier run of `owner`. A new run proves that the earlier one no
    /// longer dispatches; only its last dispatches may still be in progress.
    void onNewIncarnation(const MemberId &owner, SteadyTime now);
    /// Grants backend servers that have become free to members that request them. Must be called
    /// every few tens of milliseconds.
    void onTimer(SteadyTime now);
    /// Returns the members that received a new grant since the last call.
    std::set<MemberId> takeNewlyGranted();
    /// Returns the backend servers, sorted, that are granted for the heartbeat about to be echoed.
    std::vector<BackendServerId> grantsFor(const GrantRequest &echoed) const;
    /// Returns the number of backend servers that are granted to any member at `now`.
    std::size_t grantedCount(SteadyTime now) const;

private:
    /// The member that a backend server is granted to.
    struct Holder
    {
        GrantRequest request;
        SteadyTime heldUntil {};
    };
    /// Request of a member that does not hold the grant.
    struct PendingRequest
    {
        GrantRequest request;
        SteadyTime receivedAt {};
    };
    struct Entry
    {
        std::optional<Holder> holder;
        std::map<MemberId, PendingRequest> pending;
    };

    bool canGrant(SteadyTime now) const;
    void grantTo(Entry &entry, const GrantRequest &request, SteadyTime now);
    void grantToBestRequester(const BackendServerId &id, Entry &entry, SteadyTime now);

    MembershipSettings m_settings;
    SteadyTime m_startedAt;
    bool m_waitsAfterRestart;
    RankHook m_rank;
    std::map<BackendServerId, Entry> m_entries;
    std::set<MemberId> m_newlyGranted;
};

} // namespace pimentoward
