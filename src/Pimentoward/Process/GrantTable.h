#pragma once

#include "Pimentoward/Process/MembershipSettings.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimentoward {

/// What this member grants: each backend server to one owner at a time, until the owner hands it
/// over or has been silent for the hold time.
class GrantTable
{
public:
    /// One heartbeat that asks.
    struct GrantRequest
    {
        MemberId owner;
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
    };
    /// Place of a member in the order of preference for a backend server; 0 is the first.
    using RankHook = std::function<std::size_t(const BackendServerId &, const MemberId &)>;

    /// `startedAt`: what was granted before is forgotten, so the table waits a hold time from here.
    GrantTable(const MembershipSettings &settings, SteadyTime startedAt, RankHook rank);

    /// Whether the table waits after its start; it need not where no earlier run of this member can
    /// have granted anything.
    void setWaitsAfterRestart(bool waits) { m_waitsAfterRestart = waits; }
    /// Takes a heartbeat's asks (sorted): renews and gives grants, and takes back what the owner no
    /// longer asks for.
    void onGrantRequests(const GrantRequest &request, const std::vector<BackendServerId> &requested,
                         SteadyTime now);
    /// A new run of `owner` proves that the former one dispatches no more; only its last
    /// dispatches may still be at work.
    void onNewIncarnation(const MemberId &owner, SteadyTime now);
    /// Gives what has become free to members that wait for it. To be called often.
    void onTimer(SteadyTime now);
    /// Owners that have been given something since the last call.
    std::set<MemberId> takeNewlyGranted();
    /// What `owner` is granted on behalf of the heartbeat that is about to be echoed; sorted.
    std::vector<BackendServerId> grantsFor(const GrantRequest &echoed) const;
    /// Number of backend servers granted to anyone at present.
    std::size_t grantedCount(SteadyTime now) const;

private:
    struct Holder
    {
        GrantRequest request;
        SteadyTime heldUntil {};
    };
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
