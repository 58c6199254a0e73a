#pragma once

#include "Pimentoward/Core/Types.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pimentoward {

/// An operator's order to move the traffic of a service to backend servers of another version.
struct RolloutOrder
{
    SoftwareVersion targetVersion;
    /// Time, counted from the order, within which the roll-out must end.
    Duration duration {};
};

enum class RolloutState {
    /// Both versions are in service.
    Serving,
    /// All traffic has moved to the target version. Final.
    Complete,
    /// The target version gets no traffic any more. Final.
    RolledBack
};

/// How far a roll-out has come, as written to the store for the operator and for all VMs.
struct RolloutStatus
{
    SoftwareVersion targetVersion;
    RolloutState state = RolloutState::Serving;
    /// True in the last step before completion: all traffic goes to the target version, while the
    /// backend servers of the other version finish their requests.
    bool isShifting = false;

    bool isFinal() const { return state != RolloutState::Serving; }
};

/// Replies of one version.
struct ReplyCounts
{
    std::uint64_t good = 0;
    /// Failures and replies that took several times the usual time of their route.
    std::uint64_t bad = 0;

    std::uint64_t total() const { return good + bad; }
    void add(const ReplyCounts &other)
    {
        good += other.good;
        bad += other.bad;
    }
};

/// Replies of the target version and of the other version on one route, counted by the same VMs
/// over the same time.
struct ReplyComparison
{
    ReplyCounts target;
    ReplyCounts other;

    void add(const ReplyComparison &more)
    {
        target.add(more.target);
        other.add(more.other);
    }
};

/// Comparisons by the name of the route.
using RolloutCounts = std::map<std::string, ReplyComparison>;

/// What one run of a VM has counted since it learned of the order.
struct RolloutReport
{
    ServiceName service;
    SoftwareVersion targetVersion;
    RolloutCounts counts;
};

/// Everything that is known of the roll-out of one service.
struct Rollout
{
    /// Nothing if there is no order, or the order was withdrawn.
    std::optional<RolloutOrder> order;
    /// When this VM learned of the order.
    SteadyTime orderedAt {};
    std::optional<RolloutStatus> status;
    /// Revision of the status in the store; 0 if it was never written.
    Revision statusRevision = 0;
    /// Reports by the key under which they are stored.
    std::map<std::string, RolloutReport> reports;

    /// The status, if it is about the version that is ordered now.
    const RolloutStatus *currentStatus() const
    {
        const bool isCurrent = status && order && status->targetVersion == order->targetVersion;
        return isCurrent ? &*status : nullptr;
    }
    /// True while the target version may get requests.
    bool isOpen() const
    {
        const RolloutStatus *current = currentStatus();
        return order && (current == nullptr || !current->isFinal());
    }
};

/// The roll-outs of all services at one moment. Immutable.
using RolloutTable = std::map<ServiceName, Rollout>;
using RolloutTablePtr = std::shared_ptr<const RolloutTable>;

/// Sums the reports about the ordered version, except the one under the key `without`.
inline RolloutCounts pooledCounts(const Rollout &rollout, const std::string &without = {})
{
    RolloutCounts pooled;
    for (const auto &[key, report] : rollout.reports) {
        if (key == without || !rollout.order
            || report.targetVersion != rollout.order->targetVersion) {
            continue;
        }
        for (const auto &[route, comparison] : report.counts) {
            pooled[route].add(comparison);
        }
    }
    return pooled;
}

} // namespace pimentoward
