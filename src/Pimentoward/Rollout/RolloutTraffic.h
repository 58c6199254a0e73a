#pragma once

#include "Pimentoward/Rollout/RolloutEvidence.h"
#include "Pimentoward/Rollout/RolloutPlan.h"
#include "Pimentoward/Rollout/VersionBaseline.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentoward {

/// Decides which software version of a service a request of this VM may go to, and counts the
/// replies of both versions during a roll-out. Performs no I/O. Without a maximum share in the
/// settings all versions get requests.
///
/// Load pattern: one service among many moves to another version while its requests go on; most of
/// the other services never have more than one version.
class RolloutTraffic
{
public:
    struct Settings
    {
        RolloutPlan::Settings plan;
        RolloutEvidence::Settings evidence;
        /// A reply counts as bad from this multiple of the route's median time on.
        double slowRatio = 2.5;
        /// How long all traffic may go to the target version without being completed. Then the VM
        /// falls back to its former part, because the store may be unavailable.
        Duration maxShiftTime = std::chrono::seconds(3);
        /// This VM, as the plan ranks it.
        MemberId self;
        /// Prefix and rest of the key of this VM's report; the service stands between them.
        std::string reportKeyPrefix;
        std::string reportKeySuffix;
    };

    /// Which versions one request may go to. Empty means all.
    struct Choice
    {
        /// Tried first.
        std::optional<SoftwareVersion> preferred;
        /// Used if `preferred` is empty or has no free backend server.
        std::optional<SoftwareVersion> otherwise;
    };

    /// What a reply says about the version that sent it.
    struct Reply
    {
        ServiceName service;
        SoftwareVersion version;
        std::string route;
        bool isFailure = false;
        /// Reply time as a multiple of the route's median.
        double slowness = 1;
    };

    explicit RolloutTraffic(const Settings &settings);

    void changePlan(const RolloutPlan::Settings &plan) { m_settings.plan = plan; }
    /// Applies the current backend servers, roll-outs and VMs.
    void update(const BackendListPtr &list, const RolloutTablePtr &rollouts,
                const std::vector<MemberId> &members, SteadyTime now);
    /// The versions for an attempt. `isFirst` is false for hedges and retries, which go to the
    /// established version; `isRepeatable` is false for requests that must not run twice.
    Choice choose(const ServiceName &service, bool isFirst, bool isRepeatable,
                  SteadyTime now) const;
    /// Counts an attempt that was sent.
    void onSent(const ServiceName &service, const SoftwareVersion &version);
    /// Counts a reply, or its absence. Returns true if the target version is now known to be bad
    /// and was not before.
    bool onReply(const Reply &reply);
    /// This VM's reports that have changed since they were last taken.
    std::vector<RolloutReport> takeReports();
    /// True while a roll-out is open, so that replies have to be reported.
    bool hasOpenRollouts() const { return !m_open.empty(); }

private:
    /// One roll-out that is open.
    struct Open
    {
        SoftwareVersion target;
        /// Nothing until it is computed for the VMs that share limits now.
        std::optional<RolloutPlan::Part> part;
        std::uint64_t seen = 0;
        std::uint64_t sent = 0;
        RolloutCounts own;
        RolloutCounts others;
        bool isBad = false;
        std::optional<SteadyTime> shiftingSince;
        bool isReportDue = false;
    };

    void updateOpen(Open &open, const ServiceName &service, const Rollout &rollout, SteadyTime now);
    bool judge(Open &open) const;
    std::string reportKey(const ServiceName &service) const;

    Settings m_settings;
    RolloutEvidence m_evidence;
    VersionBaseline m_baseline;
    BackendListPtr m_list;
    std::vector<MemberId> m_members;
    std::map<ServiceName, Open> m_open;
};

} // namespace pimentoward
