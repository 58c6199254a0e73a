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
/// than there are. A VM's part is seldom a whole number of requests. Each VM rounds it with a fixed
/// offset of its own, so that what is lost by rounding down at some VMs is used by others.
///
/// Less urgent requests leave a part of the budget to the more urgent ones that the service gets in
/// the same time, but never more than half.
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
    /// `rounding`: added to this VM's part before it is rounded down; from 0 to less than 1, and
    /// uniform over the VMs.
    explicit SharedRetryBudget(const Settings &settings, double rounding = 0);

    /// Applies other settings and keeps the counts.
    void update(const Settings &settings) { m_settings = settings; }
    /// What requests of one priority may still use.
    struct Room
    {
        /// Number of extra requests.
        unsigned left = 0;
        /// True if at least half of what this priority may use is used.
        bool isShort = false;
    };

    /// Counts the first attempt of a request. Priority 0 is the most urgent.
    void onRequest(SteadyTime now, int priority = 0);
    /// Counts one extra request, or returns false if this VM's share is used up. `members` is the
    /// present number of VMs.
    bool tryAcquire(SteadyTime now, std::size_t members);
    /// What requests of `priority` may use now; less than tryAcquire() allows if more urgent
    /// requests have a part reserved.
    Room room(SteadyTime now, std::size_t members, int priority) const;

private:
    static constexpr std::size_t countedPriorities = 4;

    /// Counts for one slice of the window.
    struct Slice
    {
        std::int64_t number = -1;
        /// By priority; the last number is for all lower priorities together.
        std::array<unsigned, countedPriorities> requests {};
        unsigned extraRequests = 0;
    };
    struct Sums
    {
        unsigned requests = 0;
        /// Those of the requests that are more urgent than the priority in question.
        unsigned moreUrgent = 0;
        unsigned extraRequests = 0;
    };

    static constexpr std::size_t slicesPerWindow = 20;

    Slice &slice(SteadyTime now);
    std::int64_t sliceNumber(SteadyTime now) const;
    static std::size_t priorityIndex(int priority);
    Sums sums(SteadyTime now, int priority) const;
    double allowance(const Sums &sums, std::size_t members) const;

    Settings m_settings;
    double m_rounding = 0;
    /// One slice more than a window has, so that a complete window is always covered.
    std::array<Slice, slicesPerWindow + 1> m_slices {};
};

} // namespace pimentoward
