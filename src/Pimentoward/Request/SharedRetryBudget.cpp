#include "Pimentoward/Request/SharedRetryBudget.h"

#include <algorithm>
#include <cmath>

namespace pimentoward {

namespace {

/// Part of the budget that less urgent requests leave to more urgent ones at most.
constexpr double maxReservedShare = 0.5;

} // namespace

SharedRetryBudget::SharedRetryBudget()
    : SharedRetryBudget(Settings())
{ }

SharedRetryBudget::SharedRetryBudget(const Settings &settings, double rounding)
    : m_settings(settings)
    , m_rounding(rounding)
{ }

std::int64_t SharedRetryBudget::sliceNumber(SteadyTime now) const
{
    const Duration length = m_settings.window / slicesPerWindow;
    return now.time_since_epoch() / length;
}

SharedRetryBudget::Slice &SharedRetryBudget::slice(SteadyTime now)
{
    const std::int64_t number = sliceNumber(now);
    Slice &slice = m_slices[static_cast<std::size_t>(number) % m_slices.size()];
    if (slice.number != number) {
        slice = {number, {}, 0};
    }
    return slice;
}

std::size_t SharedRetryBudget::priorityIndex(int priority)
{
    return static_cast<std::size_t>(
        std::clamp(priority, 0, static_cast<int>(countedPriorities) - 1));
}

SharedRetryBudget::Sums SharedRetryBudget::sums(SteadyTime now, int priority) const
{
    const std::size_t own = priorityIndex(priority);
    const std::int64_t oldest = sliceNumber(now) - static_cast<std::int64_t>(slicesPerWindow);
    Sums sums;
    for (const Slice &slice : m_slices) {
        if (slice.number >= oldest) {
            for (std::size_t index = 0; index < countedPriorities; ++index) {
                sums.requests += slice.requests[index];
                sums.moreUrgent += index < own ? slice.requests[index] : 0;
            }
            sums.extraRequests += slice.extraRequests;
        }
    }
    return sums;
}

void SharedRetryBudget::onRequest(SteadyTime now, int priority)
{
    ++slice(now).requests[priorityIndex(priority)];
}

double SharedRetryBudget::allowance(const Sums &sums, std::size_t members) const
{
    const double fixed
        = m_settings.sharedAllowance / static_cast<double>(std::max<std::size_t>(1, members));
    return m_settings.usableShare * (m_settings.ratio * sums.requests + fixed) + m_rounding;
}

bool SharedRetryBudget::tryAcquire(SteadyTime now, std::size_t members)
{
    const Sums used = sums(now, 0);
    if (used.extraRequests + 1 > allowance(used, members)) {
        return false;
    }
    ++slice(now).extraRequests;
    return true;
}

SharedRetryBudget::Room SharedRetryBudget::room(SteadyTime now, std::size_t members,
                                                int priority) const
{
    const Sums used = sums(now, priority);
    const double total = std::floor(allowance(used, members));
    const double urgentShare
        = used.requests == 0 ? 0 : static_cast<double>(used.moreUrgent) / used.requests;
    const double usable = total - std::floor(total * std::min(urgentShare, maxReservedShare));
    Room room;
    room.left = static_cast<unsigned>(std::max(0.0, usable - used.extraRequests));
    room.isShort = used.extraRequests >= usable / 2;
    return room;
}

} // namespace pimentoward
