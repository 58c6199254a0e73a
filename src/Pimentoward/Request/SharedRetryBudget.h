#pragma once

#include "Pimentoward/Core/Types.h"

#include <array>
#include <cstddef>

namespace pimentoward {

/// This VM's share of the extra requests (hedges and retries) that one service may get from all
/// VMs together. Does no input or output.
///
/// The bound is a share of the requests in any window, plus a fixed number for all VMs. Each VM
/// spends the share of its own requests, and its part of the fixed number; so the sum keeps the
/// bound without talk between VMs, as long as no VM counts fewer VMs than there are.
///
/// Load pattern: many backend servers slow or silent at once, when every VM wants to send
/// everything twice.
class SharedRetryBudget
{
public:
    struct Settings
    {
        /// Extra requests as a share of the requests of the same window.
        double ratio = 0.2;
        /// Extra requests in any window besides, for all VMs together.
        double fixedForAll = 50;
        Duration window = std::chrono::seconds(10);
        /// Part of both that is spent; the rest covers what is on its way and VMs that have just
        /// started anew and forgotten what they spent.
        double spentShare = 0.75;
    };

    SharedRetryBudget();
    explicit SharedRetryBudget(const Settings &settings);

    void update(const Settings &settings) { m_settings = settings; }
    /// Counts the first sending of a request.
    void onRequest(SteadyTime now);
    /// Takes one extra request; false where the share is used up. `members`: VMs at present.
    bool tryAcquire(SteadyTime now, std::size_t members);

private:
    /// Counts of one part of the window.
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
    /// One more than a window has, so that a whole window is always covered.
    std::array<Slice, slicesPerWindow + 1> m_slices {};
};

} // namespace pimentoward
