#include "Pimentoward/Sharing/RateParts.h"

#include "Pimentoward/Process/RendezvousHash.h"

#include <algorithm>
#include <iterator>

namespace pimentoward {

namespace {

constexpr std::size_t maxParts = 3;
/// A limit is divided only if each part has at least this many requests as its burst.
constexpr double minPartBurst = 2;
/// A limit is divided only if each part has at least this many requests per second.
constexpr double minPartRate = 1;
/// Fraction of the tolerated excess that the reserve grants. Two VMs may grant it at a time. The
/// rest covers requests that are sent somewhat later than they were admitted.
constexpr double reserveRatio = 0.4;

/// True if `vm` with this weight is preferred to the granter of `part`.
bool isPreferred(const MemberId &vm, std::uint64_t weight, const RateParts::Part &part)
{
    return part.granter.empty() || weight > part.weight
        || (weight == part.weight && vm < part.granter);
}

void offer(const MemberId &vm, RateParts::Part &part)
{
    const std::uint64_t weight = RendezvousHash::weight(vm, part.key);
    if (isPreferred(vm, weight, part)) {
        part.granter = vm;
        part.weight = weight;
    }
}

} // namespace

double RateTolerance::excess(const RateLimit &limit) const
{
    const double seconds = std::chrono::duration<double>(window).count();
    return (limit.requestsPerSecond * seconds + limit.burst) * ratio + allowance;
}

RateParts::Parts RateParts::partsOf(const Workspace &workspace) const
{
    // A bucket that cannot hold one token would never grant any.
    const double burst = std::max(workspace.limit.burst, 1.0);
    const double rate = workspace.limit.requestsPerSecond;
    const bool isLarge = burst >= minPartBurst * maxParts && rate >= minPartRate * maxParts;
    const std::size_t count = isLarge ? maxParts : 1;
    Parts parts;
    for (std::size_t index = 0; index < count; ++index) {
        const auto divisor = static_cast<double>(count);
        parts.push_back({workspace.name + '/' + std::to_string(index) + '/' + std::to_string(count),
                         {rate / divisor, burst / divisor},
                         rate,
                         false,
                         {},
                         0});
    }
    // Half of the reserve comes as its burst and half as its rate, so that any window holds at most
    // the whole.
    const double reserve = m_tolerance.excess(workspace.limit) * reserveRatio;
    const double seconds = std::chrono::duration<double>(m_tolerance.window).count();
    if (reserve / 2 >= 1 && seconds > 0) {
        parts.push_back(
            {workspace.name + "/reserve", {reserve / 2 / seconds, reserve / 2}, rate, true, {}, 0});
    }
    for (Part &part : parts) {
        choose(part);
    }
    return parts;
}

void RateParts::choose(Part &part) const
{
    part.granter.clear();
    for (const MemberId &vm : m_vms) {
        offer(vm, part);
    }
}

void RateParts::changeWorkspaces(const std::vector<Workspace> &workspaces)
{
    m_parts.clear();
    for (const Workspace &workspace : workspaces) {
        if (workspace.limit.isLimited()) {
            m_parts[workspace.name] = partsOf(workspace);
        }
    }
}

void RateParts::changeVms(std::vector<MemberId> vms)
{
    std::sort(vms.begin(), vms.end());
    std::vector<MemberId> added;
    std::set_difference(vms.begin(), vms.end(), m_vms.begin(), m_vms.end(),
                        std::back_inserter(added));
    m_vms = std::move(vms);
    for (auto &[name, parts] : m_parts) {
        for (Part &part : parts) {
            if (!std::binary_search(m_vms.begin(), m_vms.end(), part.granter)) {
                choose(part);
                continue;
            }
            for (const MemberId &vm : added) {
                offer(vm, part);
            }
        }
    }
}

const RateParts::Parts *RateParts::find(const std::string &workspace) const
{
    const auto found = m_parts.find(workspace);
    return found == m_parts.end() ? nullptr : &found->second;
}

} // namespace pimentoward
