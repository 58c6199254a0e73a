#include "Pimentoward/Rollout/RolloutPlan.h"

#include "Pimentoward/Process/RendezvousHash.h"

#include <cmath>

namespace pimentoward {

namespace {

/// Parts of the maximum share, and of the allowance, that are spent while the version is judged and
/// while the traffic shifts. The rest covers VMs that forget what they have sent because they
/// restart, and senders that get more requests than other VMs.
constexpr double judgedPart = 0.4;
constexpr double shiftedPart = 0.3;
constexpr double judgedAllowancePart = 0.4;
/// Share of its requests that a chosen VM sends to the target version. Half of them make the
/// comparison strongest.
constexpr double senderShare = 0.5;
/// With fewer senders, the loss of one would leave too few to judge.
constexpr std::size_t minSenders = 3;
/// Bounds the reports, however many VMs there are.
constexpr std::size_t maxSenders = 16;
constexpr std::chrono::milliseconds minShiftTime {300};
constexpr std::chrono::milliseconds maxShiftTime {1000};

} // namespace

std::size_t RolloutPlan::senders(const Settings &settings, std::size_t members)
{
    const double wanted
        = std::ceil(static_cast<double>(members) * settings.maxShare * judgedPart / senderShare);
    const auto count = static_cast<std::size_t>(
        std::min(std::max(wanted, 0.0), static_cast<double>(maxSenders)));
    return std::min(members, std::max(count, minSenders));
}

RolloutPlan::Part RolloutPlan::part(const Settings &settings, const std::vector<MemberId> &members,
                                    const MemberId &self, const ServiceName &service)
{
    Part part;
    const std::size_t count = senders(settings, members.size());
    const bool isMember = std::find(members.begin(), members.end(), self) != members.end();
    if (!isMember || RendezvousHash::rank(members, self, service) >= count) {
        return part;
    }
    const auto senderCount = static_cast<double>(count);
    part.share = std::min(senderShare,
                          settings.maxShare * judgedPart * static_cast<double>(members.size())
                              / senderCount);
    part.allowance = settings.allowance * judgedAllowancePart / senderCount;
    return part;
}

bool RolloutPlan::Part::allows(std::uint64_t sent, std::uint64_t seen) const
{
    // The allowance is spent like the share, alternating with requests for the other version, so
    // that both versions are compared over the same time.
    const auto requests = static_cast<double>(seen + 1);
    const double limit = std::min(share * requests + allowance, senderShare * requests);
    return share > 0 && static_cast<double>(sent + 1) <= limit;
}

Duration RolloutPlan::shiftTime(const Settings &settings, const RolloutOrder &order)
{
    const Duration time = scaled(order.duration, settings.maxShare * shiftedPart);
    return std::clamp<Duration>(time, minShiftTime, maxShiftTime);
}

} // namespace pimentoward
