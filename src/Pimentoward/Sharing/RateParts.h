#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Version/Workspace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// What a deployment tolerates above a rate limit, counted over any time of length `window`.
struct RateTolerance
{
    Duration window = std::chrono::seconds(5);
    /// Fraction of the limit.
    double ratio = 0;
    /// Requests.
    double allowance = 0;

    /// Requests within one window that are tolerated above `limit`.
    double excess(const RateLimit &limit) const;
};

/// Fraction of a limit's rate that is promised to refused requests; the rest is left to new ones.
constexpr double promisedRatio = 0.8;

/// Divides the rate limits of workspaces into parts and chooses the VM that grants the tokens of
/// each. The result depends only on the workspaces and the list of VMs, so VMs with the same view
/// agree. Does no input or output.
///
/// Load pattern: a workspace's few requests a second arrive at few of many VMs and move, so that
/// fixed shares of the limit would lie unused elsewhere; and single VMs are lost, which must not
/// take a whole limit away. Each limit that is large enough therefore has three parts, which
/// different VMs grant, and most of the tolerated excess is a reserve that a fourth VM grants while
/// another part cannot be reached. A VM that comes or goes moves only its own parts.
class RateParts
{
public:
    struct Part
    {
        /// Name of the part, unique among all workspaces.
        std::string key;
        RateLimit limit;
        /// Requests per second of the workspace's whole limit.
        double wholeRate = 0;
        bool isReserve = false;
        /// Empty if there is no VM.
        MemberId granter;
        std::uint64_t weight = 0;
    };
    /// The parts of one workspace; the reserve, if there is one, is the last.
    using Parts = std::vector<Part>;

    explicit RateParts(const RateTolerance &tolerance)
        : m_tolerance(tolerance)
    { }

    /// Applies the workspaces of a settings version. Those without limits have no parts.
    void changeWorkspaces(const std::vector<Workspace> &workspaces);
    /// Replaces the VMs that can grant.
    void changeVms(std::vector<MemberId> vms);
    /// The parts by the workspace's name.
    const std::map<std::string, Parts> &byWorkspace() const { return m_parts; }
    const Parts *find(const std::string &workspace) const;
    std::size_t vmCount() const { return m_vms.size(); }
    const RateTolerance &tolerance() const { return m_tolerance; }

private:
    Parts partsOf(const Workspace &workspace) const;
    void choose(Part &part) const;

    RateTolerance m_tolerance;
    /// In the order of their names.
    std::vector<MemberId> m_vms;
    std::map<std::string, Parts> m_parts;
};

} // namespace pimentoward
