#pragma once

#include "Pimentoward/Core/Types.h"

#include <array>
#include <cstddef>

namespace pimentoward {

/// This VM's share of the extra requests (hedges and retries) that one service may get from all
/// VMs together. Performs no I/O.
///
/// The limit is a ratio of the requests within any window, plus a fixed number for all VMs. Each VM
/// uses the ratio of its own requests and an equal part of the fixed number. The sum therefore
/// stays within the limit without communication between the VMs, as long as no VM assumes fewer VMs
/// than there are.
///
/// Load pattern: many backend servers are slow or unresponsive at the same time, so that every VM
/// would send every request twice.
class SharedRetryBudget
{
public:
    struct Settings
    {
        /// Extra requests per request within the same window.
        double ratio = 0.2;
        /// Further extra requests within any window, for all VMs together.
        double sharedAllowance = 50;
        /// Length of the sliding window.
        Duration window = std::chrono::seconds(10);
        /// Share of the limit that is used. The rest is a reserve for requests in flight and for
        /// VMs that have just restarted and lost their counts.
        double usableShare = 0.75;
    };

    SharedRetryBudget();
    explicit SharedRetryBudget(const Settings &settings);

    /// Applies other settings and keeps the counts.
    void update(const Settings &settings) { m_settings = settings; }
    /// Counts the first attempt of a request.
    void onRequest(SteadyTime now);
    /// Counts one extra request, or returns false if this VM's share is used up. `members` is the
    /// present number of VMs.
    bool tryAcquire(SteadyTime now, std::size_t members);

private:
    /// Counts for one slice of the window.
    struct Slice
    {
        std::int64_t number = -1;
        unsigned requests = 0;
        unsigned extraRequests = 0;
    };
    struct Sums
    {
        unsigned requests = 0;
        unsigned extraRequests = 0;
    };

    static constexpr std::size_t slicesPerWindow = 20;

    Slice &slice(SteadyTime now);
    std::int64_t sliceNumber(SteadyTime now) const;
    Sums sums(SteadyTime now) const;
    double allowance(const Sums &sums, std::size_t members) const;

    Settings m_settings;
    /// One slice more than a window has, so that a complete window is always covered.
    std::array<Slice, slicesPerWindow + 1> m_slices {};
};

} // namespace pimentoward
