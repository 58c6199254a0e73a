#include "Pimentoward/Request/SharedRetryBudget.h"

#include <algorithm>

namespace pimentoward {

SharedRetryBudget::SharedRetryBudget()
    : SharedRetryBudget(Settings())
{ }

SharedRetryBudget::SharedRetryBudget(const Settings &settings)
    : m_settings(settings)
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
        slice = {number, 0, 0};
    }
    return slice;
}

SharedRetryBudget::Sums SharedRetryBudget::sums(SteadyTime now) const
{
    const std::int64_t oldest = sliceNumber(now) - static_cast<std::int64_t>(slicesPerWindow);
    Sums sums;
    for (const Slice &slice : m_slices) {
        if (slice.number >= oldest) {
            sums.requests += slice.requests;
            sums.extraRequests += slice.extraRequests;
        }
    }
    return sums;
}

void SharedRetryBudget::onRequest(SteadyTime now)
{
    ++slice(now).requests;
}

double SharedRetryBudget::allowance(const Sums &sums, std::size_t members) const
{
    const double fixed
        = m_settings.sharedAllowance / static_cast<double>(std::max<std::size_t>(1, members));
    return m_settings.usableShare * (m_settings.ratio * sums.requests + fixed);
}

bool SharedRetryBudget::tryAcquire(SteadyTime now, std::size_t members)
{
    const Sums used = sums(now);
    if (used.extraRequests + 1 > allowance(used, members)) {
        return false;
    }
    ++slice(now).extraRequests;
    return true;
}

} // namespace pimentoward
