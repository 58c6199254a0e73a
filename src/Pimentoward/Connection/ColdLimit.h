#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>
#include <vector>

namespace pimentoward {

/// This VM's share of the requests that one cold backend server may get in a second from all VMs
/// together. Does no input or output.
///
/// The VMs are ranked for each backend server by a hash that all of them compute alike; each gets
/// an equal whole number of requests, and the first in rank one of those that remain. So the shares
/// add up to the bound without talk between VMs.
///
/// Load pattern: backend servers of a failure domain come back together, cold, and every VM would
/// send them their usual load at once.
class ColdLimit
{
public:
    struct Settings
    {
        /// The bound in one second, as a multiple of what the service says a cold one bears.
        double ratio = 1.5;
        /// Requests in one second besides, for all VMs together.
        double fixedForAll = 5;
        /// Part of both that is spent; the rest covers VMs that have just come.
        double spentShare = 0.75;
        /// Longer than a second, since two requests may come closer together than they left.
        Duration window = std::chrono::milliseconds(1200);
    };

    ColdLimit();
    explicit ColdLimit(const Settings &settings);

    /// Takes other bounds; in force with the next changeShare().
    void changeSettings(const Settings &settings) { m_settings = settings; }
    /// The backend server is cold until `until`.
    void changeCold(SteadyTime until) { m_coldUntil = until; }
    /// `perSecond`: what a cold one bears from all VMs, 0 for no bound; `rank`: this VM's place
    /// among `members` VMs.
    void changeShare(double perSecond, std::size_t rank, std::size_t members);
    bool isCold(SteadyTime now) const { return now < m_coldUntil; }
    /// True where one more request may be sent now.
    bool allows(SteadyTime now) const;
    void onSent(SteadyTime now);

private:
    Settings m_settings;
    SteadyTime m_coldUntil {};
    bool m_isBounded = false;
    std::size_t m_share = 0;
    /// When the last requests were sent, as many as the share; the oldest is at m_next.
    std::vector<SteadyTime> m_sent;
    std::size_t m_next = 0;
};

} // namespace pimentoward
